"""The whole router fleet as real processes on loopback: emulated servers, an operator and clients around it.

Nothing of `brackenusher` is imported here but its constants: the fleet is reached through its sockets only.
"""
