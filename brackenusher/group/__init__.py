"""Drivers of what a group agrees on: its store, its streams, and the node round the machine."""
