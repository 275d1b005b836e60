"""From one process to the next: the listening sockets, what is known, and clients' connections."""
