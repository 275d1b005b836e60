"""``python -m brackenusher``: runs a role or a command of the fleet, or the older daemon's command line.

The first argument decides before anything large is imported: a role must start quickly on a small machine.
"""

import sys
from collections.abc import Sequence

ROLES = ("proxy", "control")
FLEET_COMMANDS = ("status", "config", "members", "servers", "explain", "check-settings")
DAEMON_MEMBERS_ARGUMENTS = ("show", "-h", "--help")  # `members show` belongs to the older daemon


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the role or command that the first argument names; returns the exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    first = argv[0] if argv else ""
    if first in ROLES:
        from brackenusher.commands.roles import run_role

        return run_role(first)
    if first in FLEET_COMMANDS and not (
        first == "members" and argv[1:2] and argv[1] in DAEMON_MEMBERS_ARGUMENTS
    ):
        from brackenusher.commands.application import run_command

        return run_command(argv)
    from brackenusher.cli import main as run_program

    return run_program(argv)


if __name__ == "__main__":
    sys.exit(main())
