"""Drivers of the control plane: configuration shard, service shards, feeds, the interface over HTTP.

They decide nothing: what holds is decided in `barleybarrow`.
"""
