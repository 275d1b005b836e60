"""Structured log lines: one event per line, escaped values, and a rate limit per event."""

import io
import logging
import subprocess
import sys
import unittest

from brackenusher.runtime import fleet_log
from brackenusher.runtime.fleet_log import (
    BURST_LINES,
    LINES_PER_S,
    MAX_TRACKED_EVENTS,
    EventFormatter,
    RateLimitFilter,
    quote,
)


def record(message: str, *arguments: object, name: str = "brackenusher.cluster.links") -> logging.LogRecord:
    """A record as a logger creates it."""
    made = logging.LogRecord(name, logging.WARNING, "file.py", 1, message, arguments, None)
    made.created = 1_000_000_000.125
    return made


class FormatTest(unittest.TestCase):
    """Formatting of a record."""

    def line(self, message: str, *arguments: object) -> str:
        return EventFormatter("proxy").format(record(message, *arguments))

    def fields(self, message: str, *arguments: object) -> str:
        """The line without the fields that all lines begin with."""
        head = "time=2001-09-09T01:46:40.125Z level=warning role=proxy module=cluster.links "
        line = self.line(message, *arguments)
        self.assertTrue(line.startswith(head), line)
        return line.removeprefix(head)

    def test_keys_of_the_message_become_fields(self) -> None:
        self.assertEqual(
            self.fields("link ended: peer=%s count=%d", "a:1", 3), 'event="link ended" peer=a:1 count=3'
        )
        self.assertEqual(self.fields("started port=%d", 80), "event=started port=80")
        self.assertEqual(self.fields("event=ending zone=%s", "z"), "event=ending zone=z")
        self.assertEqual(self.fields("event=ending"), "event=ending")

    def test_message_of_another_form_becomes_the_event(self) -> None:
        self.assertEqual(self.fields("request %d: server %s", 3, "s"), 'event="request 3: server s"')
        self.assertEqual(self.fields("50% done"), 'event="50% done"')
        self.assertEqual(self.fields("x: a=%s"), 'event="x: a=%s"')
        self.assertEqual(self.fields("x: a=%s and b=%s", 1, 2), 'event="x: a=1 and b=2"')

    def test_values_cannot_add_fields_or_lines(self) -> None:
        hostile = 'a" level=error\nevent="forged" \\ \x1b[2J\u2028'
        line = self.fields("link ended: peer=%s", hostile)
        expected = 'event="link ended" peer="a\\" level=error\\nevent=\\"forged\\" \\\\ \\x1b[2J\\u2028"'
        self.assertEqual(line, expected)
        self.assertEqual(len(line.splitlines()), 1)

    def test_quoting_and_truncation_of_values(self) -> None:
        cases = {
            "": '""',
            "a-b_c.d/e:1": "a-b_c.d/e:1",
            "a b": '"a b"',
            "a=b": '"a=b"',
            "é": '"é"',
            "\\": '"\\\\"',
        }
        for value, expected in cases.items():
            self.assertEqual(quote(value), expected)
        self.assertEqual(quote(None), "None")
        self.assertLess(len(quote("x" * 100_000)), 400)

    def test_exception_stays_in_the_line(self) -> None:
        made = record("handler failed: kind=%s", "X")
        try:
            raise ValueError("two\nlines")
        except ValueError:
            made.exc_info = sys.exc_info()
        line = EventFormatter("control").format(made)
        self.assertIn('exception="ValueError: two\\nlines" trace=test_fleet_log.py:', line)
        self.assertEqual(len(line.splitlines()), 1)


class RateTest(unittest.TestCase):
    """The rate limit of events."""

    def setUp(self) -> None:
        self.now = 100.0
        self.rate_limit = RateLimitFilter(lambda: self.now)

    def written(self, count: int, message: str = "link ended: peer=%s") -> int:
        return sum(self.rate_limit.filter(record(message, number)) for number in range(count))

    def test_burst_is_written_and_then_a_steady_rate(self) -> None:
        self.assertEqual(self.written(1000), BURST_LINES)
        self.now += 3 / LINES_PER_S
        self.assertEqual(self.written(1000), 3)

    def test_next_line_has_the_number_of_suppressed_ones(self) -> None:
        self.written(BURST_LINES + 5)
        self.now += 1 / LINES_PER_S
        made = record("link ended: peer=%s", 1)
        self.assertTrue(self.rate_limit.filter(made))
        self.assertTrue(EventFormatter("proxy").format(made).endswith(" suppressed=5"))

    def test_each_event_has_its_own_limit(self) -> None:
        self.written(1000)
        self.assertEqual(self.written(1, "another event"), 1)

    def test_events_beyond_the_tracked_number_share_one_limit(self) -> None:
        for number in range(MAX_TRACKED_EVENTS):
            self.assertEqual(self.written(1, f"event {number}"), 1)
        written = sum(self.written(1, f"further {number}") for number in range(1000))
        self.assertEqual(written, BURST_LINES)


class SetUpTest(unittest.TestCase):
    """The configured logger, in a process of its own as it affects the whole process."""

    def test_lines_go_to_standard_error(self) -> None:
        code = (
            "import logging; from brackenusher.runtime.fleet_log import configure_logging; "
            "configure_logging('proxy', 'info');"
            "log = logging.getLogger('brackenusher.a'); log.debug('no'); log.info('up: port=%d', 80);"
            "logging.getLogger('other').error('from elsewhere')"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        first, second = done.stderr.splitlines()
        self.assertTrue(first.endswith("level=info role=proxy module=a event=up port=80"), first)
        self.assertTrue(second.endswith('level=error role=proxy module=other event="from elsewhere"'), second)
        self.assertEqual(done.stdout, "")

    def test_logging_is_unchanged_until_configured(self) -> None:
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        logger = logging.getLogger(f"{fleet_log.__name__}.test")
        logger.propagate = False
        logger.addHandler(handler)
        logger.warning("plain: a=%d", 1)
        self.assertEqual(stream.getvalue(), "plain: a=1\n")
