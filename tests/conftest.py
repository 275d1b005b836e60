"""What holds for all tests of a worker."""

import os

import pytest
from known_red import matching, read_known_red

# gRPC's handlers run in every process that a worker forks, before it becomes another program, and have ended
# one: "epoll_wait error: Bad file descriptor" was the last word of a daemon that never began
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Passes over the tests that KNOWN-RED.txt lists."""
    entries = read_known_red()
    known = [item for item in items if matching(entries, item.nodeid)]
    if known:
        config.hook.pytest_deselected(items=known)
        items[:] = [item for item in items if item not in known]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the known failures that this runner passes over."""
    for entry in read_known_red():
        if "::" in entry.test:
            terminalreporter.write_line(str(entry))
