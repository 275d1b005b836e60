"""HTTP/2 in cleartext toward clients (RFC 9113, prior knowledge)."""
