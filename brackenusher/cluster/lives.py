"""Fencing between incarnations of a process: request numbers that no earlier incarnation has used.

Replies are sent to an address, so a reply to a process that has died arrives at the process that runs there
next. Numbers derived from the incarnation keep that process from accepting it as a reply to its own request.
"""

from brackenusher.cluster import messages

REQUEST_NUMBER_BITS = 11  # below the incarnation (53 bits) in an unsigned 64-bit number


def first_request_number(own: messages.Hello) -> int:
    """Returns the first request number of this incarnation; later requests count up from it."""
    return (own.incarnation << REQUEST_NUMBER_BITS) + 1
