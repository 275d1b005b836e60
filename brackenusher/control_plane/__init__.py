"""Drivers of the control plane: the configuration shard, the service shards, feeds and the HTTP interface for servers and operators."""
