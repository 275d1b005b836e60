"""Group membership, shared knowledge between proxies, and the client of the discovery agent."""
