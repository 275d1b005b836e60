"""Parsing and validation of a process's settings file and of the operator's configuration documents.

Does no network I/O.
"""
