"""Measured scenarios, run by ``make bench``."""
