"""Fencing between the lives of a process: numbers that no earlier life at the same address has given away.

Replies go to an address. What a peer was asked by a process that has died is answered to the process that
runs there next; a number of a life of its own keeps it from taking that for a reply to itself.
"""

from brackenusher.cluster import messages

REQUEST_NUMBER_BITS = 11  # left below an incarnation (53 bits) in an unsigned 64-bit number


def first_number(own: messages.Hello) -> int:
    """The first number that this life of a process gives to its questions; the others count up from it."""
    return (own.incarnation << REQUEST_NUMBER_BITS) + 1
