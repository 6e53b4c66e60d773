"""Checks a version of the platform's configuration before it is sent."""
