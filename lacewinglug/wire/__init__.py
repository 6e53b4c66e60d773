"""HTTP/1.1 client and server connections that forward messages unchanged."""
