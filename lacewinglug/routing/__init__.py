"""Routing and admission of requests, without I/O."""
