"""Durable state of a process: snapshots in two alternating slots, each followed by a short log.

The contents are opaque bytes here.
"""
