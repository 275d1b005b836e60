"""Handover from a running process to its successor: listening sockets, warm state, client connections."""
