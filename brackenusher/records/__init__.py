"""Observers of requests, which change nothing: capture and replay, metrics, request counts."""
