"""HTTP/1.1 toward clients."""
