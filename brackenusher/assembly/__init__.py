"""One short module a role that puts the parts together, and nothing else."""
