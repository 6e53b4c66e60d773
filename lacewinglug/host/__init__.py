"""Host process that serves callers on the users' platform."""
