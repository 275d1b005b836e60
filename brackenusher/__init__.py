"""The daemon: real sockets round the decision module barleybarrow."""

__version__ = "0.1.0"
