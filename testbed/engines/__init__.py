"""An emulator of a router fleet before model servers, in virtual time: engines, plain servers, proxies,
clients.

It drives the shipped dispatcher and reads nothing of it but its actions. Figures come from a site file's
tables.
"""
