"""Shares of the prefill capacity among organisations under contention."""
