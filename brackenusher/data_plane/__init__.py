"""Data plane I/O: client connections, upstream connections, event streams, readiness.

Server selection is in `barleybarrow.routing`.
"""
