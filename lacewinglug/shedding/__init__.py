"""Refusal of prompts that cannot be served by their deadline."""
