"""HTTP/2 for clients, in cleartext with prior knowledge (RFC 9113)."""
