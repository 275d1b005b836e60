"""Upstream side: the pool of backend members, connections to them, and the HTTP/1.1 codec."""
