"""Event loop, buffer pool, sockets, logging and metrics."""
