"""Slopes measured on one machine, and what they say of the aimed size."""
