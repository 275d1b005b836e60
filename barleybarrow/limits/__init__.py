"""Decisions on limits: tenants, quotas over all proxies, the retry budget. No I/O; time is passed in."""
