"""Exit codes of the commands, and the error that ends one."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the caller of a command is told."""

    OK = 0
    REFUSED = 1  # the fleet said no, or what was asked for is not there, or `config diff` found differences
    USAGE = 2  # the command line, a settings file or an input file is wrong
    UNREACHABLE = 3  # no control process gave a clear answer; an order may have been taken
    CONFLICT = 4  # another version of the configuration is current


class CommandError(Exception):
    """Ends a command; `str` is one line with the remedy."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(" ".join(message.split()))
        self.exit_code = exit_code
