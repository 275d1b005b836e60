"""Decisions on routing: speed estimates, prefix affinity, admission, ejection of outliers. No I/O; time is
passed in.
"""
