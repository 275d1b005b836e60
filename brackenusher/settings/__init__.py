"""The settings file of a process and the configuration documents of the operator: reading and checking.

It never does I/O on sockets.
"""
