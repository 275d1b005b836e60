"""Transactions, deadlines, observers: no protocol, no socket."""
