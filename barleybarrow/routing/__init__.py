"""Routing decisions: latency estimates, prefix affinity, admission and outlier ejection.

Performs no I/O; callers pass in the time.
"""
