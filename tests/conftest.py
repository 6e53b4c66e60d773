"""Fixtures shared by all tests."""
