"""One short module per role that wires its components together, and nothing else."""
