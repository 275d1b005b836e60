"""Replicated state without agreement: registrations that merge, change feeds with offsets.

No I/O; time is passed in. Nothing here may decide what needs a majority of voters.
"""
