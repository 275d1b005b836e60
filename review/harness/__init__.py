"""Shared parts of the cases 4 to 8: the fleet as processes, servers, clients, the operator, on loopback."""
