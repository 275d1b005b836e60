"""Loop, buffers, sockets and the way out for lines."""
