"""Decisions of the control core: configuration state, membership of the voters, bootstrap.

No I/O; time is passed in.
"""
