"""Bounds on the memory and the descriptors that peers of a host can take."""
