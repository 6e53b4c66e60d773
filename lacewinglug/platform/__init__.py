"""Adapter for the users' platform: its names, data formats and calls."""
