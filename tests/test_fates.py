"""Idempotency records: sharing among proxies, lookup at admission, and routing of bound requests."""

import random
import threading
import time

import msgspec
import pytest
from helpers import Proxy

from barleybarrow import interface as face
from barleybarrow.idempotency_records import (
    BATCH_DELAY_MS,
    MAX_GROUP_SIZE,
    PROBE_INTERVAL_MS,
    IdempotencyRecords,
    KeyReport,
    KeyReports,
    Probe,
    SavedResponse,
    Verdict,
)
from barleybarrow.interface import Effect, Group, Outcome
from testbed.keyed import storm
from testbed.processes.moves import Moves
from testbed.schedule import by_chance

WINDOW = 6000.0


def connected_pair():
    """The records of two connected proxies, by name."""
    records = {name: IdempotencyRecords(name, 0.0) for name in ("a", "b")}
    records["a"].reachable, records["b"].reachable = ["b"], ["a"]
    return records


def deliver(records, now, delay_ms=1.0):
    """Deliver all outgoing messages and their replies, each after the delay."""
    for _ in range(4):
        for name, own in records.items():
            own.tick(now)
            out, own.outgoing = own.outgoing, []
            for to, m in out:
                records[to].receive(now + delay_ms, name, m)


def test_another_proxy_learns_where_a_request_may_run_and_its_response():
    records = connected_pair()
    deliver(records, 0.0)
    a, b = records["a"], records["b"]
    a.on_request(1, b"k", WINDOW)
    assert a.lookup(b"k", 5.0, False) is None
    a.on_attempt_sent(10.0, 1, "s0")
    assert a.lookup(b"k", 10.0, False).server == "s0" and b.lookup(b"k", 10.0, False) is None
    deliver(records, 10.0 + BATCH_DELAY_MS)
    verdict = b.lookup(b"k", 40.0, False)
    assert verdict.server == "s0" and verdict.until < 10.0 + WINDOW  # the server still remembers the key
    assert verdict.until > WINDOW / 1.05 - PROBE_INTERVAL_MS - BATCH_DELAY_MS - 10.0
    a.on_attempt_ended(50.0, 1, 0, True)  # not executed
    a.on_attempt_sent(51.0, 1, "s1")
    deliver(records, 80.0)
    assert b.lookup(b"k", 90.0, False).server == "s1"
    a.on_request_done(100.0, 1, SavedResponse(b"done"))
    a.on_attempt_ended(101.0, 1, 0, True)
    deliver(records, 130.0)
    assert b.lookup(b"k", 140.0, False) == Verdict(response=SavedResponse(b"done"))
    assert b.lookup(b"k", 150.0 + 2 * WINDOW, False) is None
    deliver(records, 1000.0 + 3 * WINDOW)
    assert not b.records and not a.records and not b.body_bytes


def test_a_key_that_may_have_run_at_two_servers_goes_to_neither_unless_deduplicated():
    records = connected_pair()
    deliver(records, 0.0)
    for name, server in (("a", "s0"), ("b", "s1")):  # before either receives the other's report
        records[name].on_request(1, b"k", WINDOW)
        records[name].on_attempt_sent(10.0, 1, server)
    deliver(records, 40.0)
    for f in records.values():
        assert f.lookup(b"k", 50.0, False) == Verdict()
        assert f.lookup(b"k", 50.0, True).server == "s0"
    records["a"].on_request_done(60.0, 1, None)  # its client left: the attempt may still run
    deliver(records, 90.0)
    assert records["b"].lookup(b"k", 100.0, False) == Verdict()


def test_a_delayed_report_never_extends_the_server_window():
    rng = random.Random(3)
    for _ in range(300):
        records = connected_pair()
        a, b = records["a"], records["b"]
        probed_at = rng.uniform(0.0, 5000.0)
        b.next_probe_at = probed_at
        b.tick(probed_at)
        ((_, probe),) = b.outgoing
        probe_received_at = probed_at + rng.uniform(0.0, 3000.0)
        a.receive(probe_received_at, "b", probe)
        attempt_sent_at = probe_received_at + rng.uniform(-2000.0, 2000.0)
        a.on_request(1, b"k", WINDOW)
        a.on_attempt_sent(attempt_sent_at, 1, "s0")
        reported_at = max(attempt_sent_at, probe_received_at) + rng.uniform(0.0, 2000.0)
        a.flush_at = reported_at
        a.outgoing.clear()
        a.tick(reported_at)
        report_received_at = reported_at + rng.uniform(0.0, 4000.0)
        for to, m in a.outgoing:
            if isinstance(m, KeyReports):
                assert to == "b"
                b.receive(report_received_at, "a", m)
        verdict = b.lookup(b"k", report_received_at, False)
        assert verdict is None or verdict.until <= attempt_sent_at + WINDOW
    b.receive(9000.0, "a", KeyReports(99, [KeyReport(b"x", 1, 0.0, WINDOW, ["s0"])]))
    assert b.lookup(b"x", 9000.0, False).until < 9000.0  # refers to an unknown probe


def test_tables_are_bounded_and_an_older_report_is_ignored(monkeypatch):
    monkeypatch.setattr("barleybarrow.idempotency_records.MAX_RECORDS", 3)
    monkeypatch.setattr("barleybarrow.idempotency_records.MAX_TOTAL_BODY_BYTES", 10)
    records = IdempotencyRecords("a", 0.0)
    records.probe_sent_at[1] = 0.0
    for n in range(5):
        records.receive(
            10.0,
            "b",
            KeyReports(1, [KeyReport(b"%d" % n, n + 1, 0.0, WINDOW, ["s0"], SavedResponse(b"x" * 6))]),
        )
    assert list(records.records) == [b"2", b"3", b"4"] and records.counts["fates"] == 2
    assert records.body_bytes == 6 and records.counts["answers"] >= 2
    assert records.lookup(b"2", 20.0, False).server == "s0" and records.lookup(b"4", 20.0, False).response
    records.receive(20.0, "b", KeyReports(1, [KeyReport(b"2", 1, 0.0, WINDOW, [])]))
    assert records.lookup(b"2", 20.0, False).server == "s0"
    records.reachable = [
        f"n{n}" for n in range(MAX_GROUP_SIZE)
    ]  # too large a group: reports are not sent but counted
    records.on_request(1, b"k", WINDOW)
    records.on_attempt_sent(30.0, 1, "s0")
    records.tick(100.0)
    assert not records.outgoing and records.counts["group"] == 1
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(
            msgspec.msgpack.encode([2, 0, [[b"", 1, 0.0, 1.0, []]]]), type=Probe | KeyReports
        )


# random faults in virtual time


def violations(first, count):
    return [
        b
        for seed in range(first, first + count)
        for b in storm(seed, 4, by_chance(seed, 4, 3.0, 20.0)).breaches()
    ]


@pytest.mark.parametrize("first", [100, 115])
def test_random_faults_never_send_a_reported_key_to_a_second_server(first):
    assert violations(first, 15) == []


def report_is_sent_only_at_the_end(monkeypatch):
    def on_attempt_sent(self, now, request, server):
        queued = self.queued_reports.copy(), dict(self.queued_at), self.flush_at
        right(self, now, request, server)
        self.queued_reports, self.queued_at, self.flush_at = queued

    right = IdempotencyRecords.on_attempt_sent
    monkeypatch.setattr(IdempotencyRecords, "on_attempt_sent", on_attempt_sent)


def transit_time_is_not_added_to_the_age(monkeypatch):
    def receive(self, now, sender, message):
        if isinstance(message, Probe):
            return right(self, now, sender, message)
        for report in message.reports:
            self.apply_report(sender, report, now, report.age)

    right = IdempotencyRecords.receive
    monkeypatch.setattr(IdempotencyRecords, "receive", receive)


def either_of_two_servers_is_allowed(monkeypatch):
    right = IdempotencyRecords.lookup
    monkeypatch.setattr(
        IdempotencyRecords, "lookup", lambda self, key, now, shared: right(self, key, now, True)
    )


def reports_replace_those_of_other_proxies(monkeypatch):
    def apply_report(self, origin, report, now, age):
        if report.key in self.records and origin != self.name:
            self.records[report.key].reports.clear()
        right(self, origin, report, now, age)

    right = IdempotencyRecords.apply_report
    monkeypatch.setattr(IdempotencyRecords, "apply_report", apply_report)


def timed_out_attempts_count_as_not_executed(monkeypatch):
    right = IdempotencyRecords.on_attempt_ended
    monkeypatch.setattr(
        IdempotencyRecords, "on_attempt_ended", lambda self, now, r, a, _: right(self, now, r, a, True)
    )


@pytest.mark.parametrize(
    "bug",
    [
        report_is_sent_only_at_the_end,
        transit_time_is_not_added_to_the_age,
        either_of_two_servers_is_allowed,
        reports_replace_those_of_other_proxies,
        timed_out_attempts_count_as_not_executed,
    ],
)
def test_random_faults_find_injected_bugs(bug, monkeypatch):
    bug(monkeypatch)
    assert any(violations(seed, 1) for seed in range(40))


# routing of bound requests


def bound_request(server, until, group=Group.CELL):
    classes = [face.RequestClass(aim=200, deadline=800, effect=Effect.KEYED, group=group, window=500)]
    proxy = Proxy((), classes=classes)
    entries = [face.Entry(name, face.State.LIVE, cell=place) for place, name in enumerate("abc")]
    proxy.give(face.ListChanged(face.ListScope.COMPLETE, entries))
    until += proxy.now
    return proxy, proxy.give(face.Arrived(900, 0, proxy.now + 800, bound=server, window_end=until))


def test_a_bound_request_goes_to_its_server_or_fails():
    for server in "abc":
        proxy, actions = bound_request(server, 400.0)
        assert [a.backend for a in actions if isinstance(a, face.Send)] == [server]
        again = proxy.give(face.Finished(900, 0, Outcome.TIMEOUT, 20.0, False))
        assert not any(isinstance(a, face.Send) and a.backend != server for a in again)
    for server, until in (("gone", 400.0), ("", 400.0), ("a", -5.0)):
        _, actions = bound_request(server, until)
        assert [type(a) for a in actions] == [face.Fail]  # fails at once: no server may take it
    _, actions = bound_request("gone", 400.0, Group.ALL)
    assert isinstance(actions[0], face.Refuse)
    proxy, actions = bound_request("a", 400.0)
    other = proxy.give(face.Arrived(901, 0, proxy.now + 800, bound="a", window_end=proxy.now + 400.0))
    assert not any(isinstance(a, face.Send) for a in other)  # its server is busy: it waits for it
    sent = proxy.give(face.Finished(900, 0, Outcome.SERVED, 20.0, True))
    assert [a.backend for a in sent if isinstance(a, face.Send)] == ["a"]


# on processes


def test_a_repeat_through_another_proxy_gets_the_response_or_the_same_server(tmp_path):
    with Moves(tmp_path) as group:
        for n in range(12):
            assert group.move(n % 3, f"k{n}") == (200, b"moved k%d" % n)
        group.until(lambda: group.wish(2, "replica verify"), "an answer")
        time.sleep(0.3)
        for n in range(12):
            assert group.move((n + 1) % 3, f"k{n}") == (200, b"moved k%d" % n)
        assert all(
            len(group.places(f"k{n}")) == 1 for n in range(12)
        )  # answered from the record: it ran once
        # The same key of another tenant or board, or a key with the same first 250 bytes, is another request.
        for number, facts in ((1, {"owner": "b"}), (2, {"board": "m2"})):
            assert group.move(number, "k0", **facts) == (200, b"moved k0")
        long = "x" * 250
        assert group.move(0, long + "0") == (200, b"moved " + long.encode() + b"0")
        time.sleep(0.3)
        assert group.move(1, long + "1") == (200, b"moved " + long.encode() + b"1")
        assert len(group.places("k0")) == 3
        for n, wait in enumerate((0.1, 0.1, 1.0, 0.1)):
            key = f"slow{n}"
            first = threading.Thread(target=group.move, args=(0, key))
            first.start()
            group.until(lambda key=key: group.places(key), "at a server")
            time.sleep(wait)
            if n == 3:
                group.kill(0)
            status = group.move(1, key)
            first.join()
            assert status is not None and set(group.places(key)) == {group.places(key)[0]}, key
            assert status[0] in (200, 503, 504, 502)
        assert group.breaches() == []


def test_without_records_a_repeat_may_run_at_another_server(tmp_path):
    # Validates the test above: without reports, the same repeats run at another server.
    with Moves(tmp_path, "replica.fates = false\n") as group:
        spread = False
        for n in range(12):
            group.move(n % 3, f"k{n}")
            group.move((n + 1) % 3, f"k{n}")
            spread |= len(group.places(f"k{n}")) == 2
        assert spread
