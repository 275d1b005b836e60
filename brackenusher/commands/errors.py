"""Exit codes of the commands, and the exception that ends a command with one."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes; part of the command line interface."""

    OK = 0
    REFUSED = 1  # the fleet refused, the item does not exist, or `config diff` found differences
    USAGE = 2  # invalid command line, settings file or input file
    UNREACHABLE = 3  # no conclusive reply from a control process; an order may have been accepted
    CONFLICT = 4  # the base version is not the current one


class CommandError(Exception):
    """Ends a command with an exit code; `str` is one line with the remedy."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(" ".join(message.split()))
        self.exit_code = exit_code
