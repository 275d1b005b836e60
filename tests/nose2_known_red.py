"""A nose2 plugin: passes over the tests of KNOWN-RED.txt, prints them, and counts what passed and failed."""

import unittest
from collections.abc import Iterator

from nose2.events import Plugin, ReportSummaryEvent, StartTestRunEvent, TestOutcomeEvent

from tests.known_red import KnownRed, matching, read_known_red


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """The single tests of a suite of suites, in their order."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from tests_of(test)
        else:
            yield test


class KnownRedPlugin(Plugin):
    """Takes the known failures out of the suite before it runs; counts what ran when it has ended."""

    configSection = "known-red"  # noqa: N815, the library's name
    alwaysOn = True  # noqa: N815, the library's name

    def __init__(self) -> None:
        self.passed_over: list[KnownRed] = []
        self.passed = 0
        self.failed = 0

    def startTestRun(self, event: StartTestRunEvent) -> None:  # noqa: N802, the name of the library's hook
        """Drops the listed tests from the suite that is about to run."""
        entries = read_known_red()
        kept = []
        for test in tests_of(event.suite):
            entry = matching(entries, test.id())
            if entry is None:
                kept.append(test)
            else:
                self.passed_over.append(entry)
        event.suite = unittest.TestSuite(kept)

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802, the name of the library's hook
        """Counts the test as passed, or as failed where its outcome was not the expected one."""
        if event.outcome == "skipped":
            return
        if event.outcome == "subtest":  # its test is counted by itself unless a part of it failed
            self.failed += event.exc_info is not None
            return
        self.passed += event.expected
        self.failed += not event.expected

    def afterSummaryReport(self, event: ReportSummaryEvent) -> None:  # noqa: N802, the name of the library's hook
        """Prints what was passed over, and how many tests passed and failed."""
        for entry in self.passed_over:
            event.stream.writeln(str(entry))
        counts = f"{self.passed} passed, {self.failed} failed, {len(self.passed_over)} passed over"
        event.stream.writeln(counts)
