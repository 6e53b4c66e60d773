"""HTTP/1.1 connections that the project owns, for exact forwarding."""
