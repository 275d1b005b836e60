"""HTTP/1.1 for clients."""
