"""Toward pool members: the pool, connections, server-side flows."""
