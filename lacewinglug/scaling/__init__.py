"""Decides how many runners of each kind a service has in each zone, and orders them."""
