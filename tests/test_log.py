"""The daemon's log: the same events and fields in every format, one line per event."""

import ast
import json
import logging
import re
import shlex
import signal
import socket
from collections import defaultdict

import pytest
from helpers import ROOT, Program, TurnServer, command, until, write_config

from brackenusher.runtime import log as logs

EVENT_ARGUMENT = {"log_event": 2, "log_exception": 1}  # position of the event among the arguments


def logging_calls():
    """Event, text and field names of each logging call in the daemon."""
    for path in sorted((ROOT / "brackenusher").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Name)
                and node.func.id in EVENT_ARGUMENT
            ):
                at = EVENT_ARGUMENT[node.func.id]
                if len(node.args) > at + 1 and all(isinstance(a, ast.Constant) for a in node.args[at:]):
                    event, text = (argument.value for argument in node.args[at : at + 2])
                    yield event, text, {keyword.arg for keyword in node.keywords}


def test_every_event_has_one_set_of_fields_and_its_text_uses_them_all():
    # a missing field makes formatting fail, and an event with varying fields cannot be parsed
    found = defaultdict(set)
    for event, text, fields in logging_calls():
        assert re.fullmatch(r"[a-z][a-z_]+", event)
        assert set(re.findall(r"%\((\w+)\)", text)) == fields, text
        assert not fields & {"timestamp", "level", "logger", "event", "exception"}
        found[event].add(frozenset(fields))
    assert len(found) > 15 and all(len(fields) == 1 for fields in found.values())


@pytest.fixture(scope="module")
def logs_by_format(tmp_path_factory):
    """The daemon's log of a whole run, by format."""
    texts = {}
    for form in ("", "text", "logfmt", "json"):
        folder = tmp_path_factory.mktemp(form or "none")
        operator = f"log.format = {form}\n" if form else "capture.files = 2\n"
        with Program(folder, TurnServer(), operator=operator) as program:
            until(lambda program=program: program.agent.watchers, "the watch")
            (folder / "config.json").write_text("{", encoding="utf-8")
            program.process.send_signal(signal.SIGHUP)
            until(lambda program=program: "reload" in program.log, "the error")
            program.process.terminate()
            assert program.process.wait(20) == 0
        texts[form] = program.log.splitlines()
    return texts


def test_text_is_the_default_format(logs_by_format):
    line = r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} (INFO|ERROR) brackenusher\.daemon: "
    for form in ("", "text"):
        rests = [re.sub(line, "", text) for text in logs_by_format[form]]
        assert all(re.match(line, text) for text in logs_by_format[form])
        assert re.fullmatch(r"n0 serves on 127\.0\.0\.1:\d+", rests[0])
        assert rests[1].startswith("reload: kept the old configuration: ") and rests[2].startswith(
            "stopping: killed in "
        )
        assert all(
            re.match(r"(closing|ended) \d+ ms after the signal: 0 taken", rest) for rest in rests[3:-2]
        )
        end = "ended: 0 taken, 0 stood unanswered, 0 refused at the end, 0 connections left"
        assert rests[-2] == end and rests[-1].startswith("connections to members: ") and len(rests) == 7


def test_logfmt_and_json_have_the_same_events_and_fields(logs_by_format):
    records = [json.loads(line) for line in logs_by_format["json"]]
    phases = ["stop_phase", "stop_phase"]
    events = ["serving", "reload_unusable", "stopping", *phases, "ended", "connections_ended"]
    assert [line["event"] for line in records] == events
    assert [line["phase"] for line in records[3:5]] == ["closing", "ended"]
    assert (records[0]["name"], records[0]["host"], type(records[0]["port"])) == ("n0", "127.0.0.1", int)
    assert (records[5]["taken"], records[5]["unanswered"], records[5]["level"]) == (0, 0, "info")
    pairs = [dict(pair.split("=", 1) for pair in shlex.split(line)) for line in logs_by_format["logfmt"]]
    assert [list(line) for line in pairs] == [list(line) for line in records]
    assert [line["event"] for line in pairs] == [line["event"] for line in records]


@pytest.mark.parametrize("form", ["logfmt", "json"])
def test_field_values_cannot_end_a_line_and_are_truncated(form):
    # clients choose some of the values: they could forge lines or fill the log
    root, stream = logging.getLogger(), []
    handler = logging.Handler()
    handler.emit = lambda record: stream.append(handler.format(record))
    old, root.handlers = root.handlers, [handler]
    try:
        logs.set_format(form)
        log = logging.getLogger("a")
        logs.log_event(log, logging.WARNING, "odd", "%(why)s", why='x"\nevent=ended ' + "y" * 5000)
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logs.log_exception(log, "failed", "it failed")
        log.warning("in %s own words", "its")
    finally:
        root.handlers = old
    assert all("\n" not in line for line in stream) and len(stream[0]) < 1300
    if form == "json":
        odd, failed, note = (json.loads(line) for line in stream)
        assert (
            odd["event"] == "odd" and 'x"\nevent' in odd["why"] and "ValueError: two" in failed["exception"]
        )
        assert (note["event"], note["text"]) == ("note", "in its own words")


def test_structlog_is_imported_only_for_its_formats_and_reported_if_missing(tmp_path):
    (tmp_path / "structlog.py").write_text("raise ImportError('not here')", encoding="utf-8")
    taken = socket.create_server(("127.0.0.1", 0))
    path = write_config(tmp_path, listen=f"127.0.0.1:{taken.getsockname()[1]}")
    file = tmp_path / "operator.properties"
    environ = {"GW_CONFIG": path, "PYTHONPATH": str(tmp_path)}
    for form, code in (("text", 1), ("json", 2), ("xml", 2)):  # 1, as the port is in use
        file.write_text(f"log.format = {form}\n", encoding="utf-8")
        done = command("serve", "--operator", str(file), **environ)
        assert done.returncode == code, done.stderr
        if code == 2:
            assert done.stderr.count("\n") == 1 and "log.format" in done.stderr
    taken.close()
