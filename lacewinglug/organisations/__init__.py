"""Organisations whose requests the system serves, and the API keys that name them."""
