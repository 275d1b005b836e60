"""A world of our own for the code that ships: servers, discovery, clients and faults in virtual time.

The daemon never imports anything from here.
"""
