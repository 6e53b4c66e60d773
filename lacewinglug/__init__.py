"""Serves model and service requests from a fixed fleet of runners."""

__version__ = "0.1.0"
