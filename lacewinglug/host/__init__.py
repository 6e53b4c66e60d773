"""The program that serves callers on one host of the users' platform."""
