"""Control plane drivers: the configuration shard, the service registry, the feeds and the HTTP API.

They do I/O only; the protocols and decisions are in `barleybarrow`.
"""
