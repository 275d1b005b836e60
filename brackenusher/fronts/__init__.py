"""Client-facing protocols: each consists of a sans-I/O state machine and a thin socket driver."""
