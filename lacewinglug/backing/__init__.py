"""Clients of the backing services: log, host list and weight store."""
