"""What processes of the fleet say to each other: messages, links, membership.

It decides nothing about requests.
"""
