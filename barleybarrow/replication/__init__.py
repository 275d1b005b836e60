"""State replicated without consensus: mergeable registrations and change feeds with offsets.

No I/O; time is passed in. Decisions that require a majority of voters must not be made here.
"""
