"""Communication between the processes of a fleet: messages, links and membership.

Nothing here takes routing decisions.
"""
