"""Drivers of the data plane: client connections, upstream connections, streams, readiness.

Which server is chosen is decided in `barleybarrow.routing`.
"""
