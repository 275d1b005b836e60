"""The command line of the fleet: roles, and the operator's commands. It talks to the fleet over HTTP only."""
