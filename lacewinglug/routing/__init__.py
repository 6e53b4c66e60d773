"""Decides which runner gets a request: pure functions of typed state."""
