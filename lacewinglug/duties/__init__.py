"""Calls to the platform's interface, which one host at a time makes."""
