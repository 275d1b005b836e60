"""Replicated state without agreement: registrations that merge, change feeds with offsets. No I/O; time is passed in."""
