"""The replicated configuration: state machine, voter selection and bootstrap.

No I/O; time is passed in.
"""
