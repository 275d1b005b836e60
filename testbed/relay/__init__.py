"""A relay for any TCP hop that fails on purpose: a machine, a script, a journal and a driver."""
