"""Stand-ins of the review: the platform, the operator, clients and servers. Standard library only."""
