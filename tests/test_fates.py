"""Fates of keyed requests: told among proxies, taken up at admission, bound in the module; on daemons."""

import random
import threading
import time

import msgspec
import pytest
from helpers import Proxy

from barleybarrow import interface as face
from barleybarrow.idempotency_records import (
    DELAY,
    ECHO,
    MOST_GROUP,
    Answer,
    Ask,
    IdempotencyRecords,
    Said,
    Told,
    Verdict,
)
from barleybarrow.interface import Effect, Group, Outcome
from testbed.keyed import storm
from testbed.processes.moves import Moves
from testbed.schedule import by_chance

WINDOW = 6000.0


def pair():
    """Two proxies that hear each other; carry hands over what waits, later by so many milliseconds."""
    made = {name: IdempotencyRecords(name, 0.0) for name in ("a", "b")}
    made["a"].reach, made["b"].reach = ["b"], ["a"]
    return made


def carry(made, now, way=1.0):
    for _ in range(4):
        for name, f in made.items():
            f.tick(now)
            out, f.out = f.out, []
            for to, m in out:
                made[to].receive(now + way, name, m)


def test_where_one_may_run_is_known_elsewhere_and_what_it_became():
    made = pair()
    carry(made, 0.0)
    a, b = made["a"], made["b"]
    a.arrived(1, b"k", WINDOW)
    assert a.ask(b"k", 5.0, False) is None
    a.sent(10.0, 1, "s0")
    assert a.ask(b"k", 10.0, False).server == "s0" and b.ask(b"k", 10.0, False) is None
    carry(made, 10.0 + DELAY)
    told = b.ask(b"k", 40.0, False)
    assert told.server == "s0" and told.until < 10.0 + WINDOW  # never later than the server forgets
    assert told.until > WINDOW / 1.05 - ECHO - DELAY - 10.0
    a.ended(50.0, 1, 0, True)  # the server has not run it
    a.sent(51.0, 1, "s1")
    carry(made, 80.0)
    assert b.ask(b"k", 90.0, False).server == "s1"
    a.over(100.0, 1, Answer(b"done"))
    a.ended(101.0, 1, 0, True)
    carry(made, 130.0)
    assert b.ask(b"k", 140.0, False) == Verdict(answer=Answer(b"done"))
    assert b.ask(b"k", 150.0 + 2 * WINDOW, False) is None
    carry(made, 1000.0 + 3 * WINDOW)
    assert not b.fates and not a.fates and not b.bytes


def test_what_may_have_run_at_two_goes_to_none_but_where_all_drop_it():
    made = pair()
    carry(made, 0.0)
    for name, server in (("a", "s0"), ("b", "s1")):  # before either had heard of the other
        made[name].arrived(1, b"k", WINDOW)
        made[name].sent(10.0, 1, server)
    carry(made, 40.0)
    for f in made.values():
        assert f.ask(b"k", 50.0, False) == Verdict()
        assert f.ask(b"k", 50.0, True).server == "s0"
    made["a"].over(60.0, 1, None)  # its client left: what is out may run still
    carry(made, 90.0)
    assert made["b"].ask(b"k", 100.0, False) == Verdict()


def test_a_word_that_was_long_on_its_way_gives_no_more_time_than_the_server_does():
    rng = random.Random(3)
    for _ in range(300):
        made = pair()
        a, b = made["a"], made["b"]
        asked = rng.uniform(0.0, 5000.0)
        b.ask_at = asked
        b.tick(asked)
        ((_, question),) = b.out
        heard = asked + rng.uniform(0.0, 3000.0)
        a.receive(heard, "b", question)
        sent = heard + rng.uniform(-2000.0, 2000.0)
        a.arrived(1, b"k", WINDOW)
        a.sent(sent, 1, "s0")
        said = max(sent, heard) + rng.uniform(0.0, 2000.0)
        a.tell_at = said
        a.out.clear()
        a.tick(said)
        came = said + rng.uniform(0.0, 4000.0)
        for to, m in a.out:
            if isinstance(m, Told):
                assert to == "b"
                b.receive(came, "a", m)
        verdict = b.ask(b"k", came, False)
        assert verdict is None or verdict.until <= sent + WINDOW
    b.receive(9000.0, "a", Told(99, [Said(b"x", 1, 0.0, WINDOW, ["s0"])]))
    assert b.ask(b"x", 9000.0, False).until < 9000.0  # of a question that it never put: nowhere


def test_tables_are_bounded_and_an_earlier_word_changes_nothing(monkeypatch):
    monkeypatch.setattr("barleybarrow.idempotency_records.MOST_FATES", 3)
    monkeypatch.setattr("barleybarrow.idempotency_records.MOST_BYTES", 10)
    f = IdempotencyRecords("a", 0.0)
    f.asked[1] = 0.0
    for n in range(5):
        f.receive(10.0, "b", Told(1, [Said(b"%d" % n, n + 1, 0.0, WINDOW, ["s0"], Answer(b"x" * 6))]))
    assert list(f.fates) == [b"2", b"3", b"4"] and f.counts["fates"] == 2
    assert f.bytes == 6 and f.counts["answers"] >= 2
    assert f.ask(b"2", 20.0, False).server == "s0" and f.ask(b"4", 20.0, False).answer
    f.receive(20.0, "b", Told(1, [Said(b"2", 1, 0.0, WINDOW, [])]))
    assert f.ask(b"2", 20.0, False).server == "s0"
    f.reach = [f"n{n}" for n in range(MOST_GROUP)]  # too many: nothing is told, and it says so
    f.arrived(1, b"k", WINDOW)
    f.sent(30.0, 1, "s0")
    f.tick(100.0)
    assert not f.out and f.counts["group"] == 1
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode([2, 0, [[b"", 1, 0.0, 1.0, []]]]), type=Ask | Told)


# by chance, in virtual time


def stormy(first, many):
    return [
        b
        for seed in range(first, first + many)
        for b in storm(seed, 4, by_chance(seed, 4, 3.0, 20.0)).breaches()
    ]


@pytest.mark.parametrize("first", [100, 115])
def test_by_chance_no_key_runs_at_a_second_server_that_was_told_of(first):
    assert stormy(first, 15) == []


def is_told_when_it_is_over(monkeypatch):
    def sent(self, now, request, server):
        held = self.waiting.copy(), dict(self.waits_from), self.tell_at
        right(self, now, request, server)
        self.waiting, self.waits_from, self.tell_at = held

    right = IdempotencyRecords.sent
    monkeypatch.setattr(IdempotencyRecords, "sent", sent)


def takes_the_sender_s_word_for_its_age(monkeypatch):
    def receive(self, now, sender, m):
        if isinstance(m, Ask):
            return right(self, now, sender, m)
        for said in m.said:
            self.hold(sender, said, now, said.age)

    right = IdempotencyRecords.receive
    monkeypatch.setattr(IdempotencyRecords, "receive", receive)


def one_of_two_will_do(monkeypatch):
    right = IdempotencyRecords.ask
    monkeypatch.setattr(IdempotencyRecords, "ask", lambda self, key, now, shared: right(self, key, now, True))


def a_later_word_takes_the_place_of_another_s(monkeypatch):
    def hold(self, origin, said, now, age):
        if said.key in self.fates and origin != self.name:
            self.fates[said.key].words.clear()
        right(self, origin, said, now, age)

    right = IdempotencyRecords.hold
    monkeypatch.setattr(IdempotencyRecords, "hold", hold)


def what_is_given_up_counts_as_not_run(monkeypatch):
    right = IdempotencyRecords.ended
    monkeypatch.setattr(
        IdempotencyRecords, "ended", lambda self, now, r, a, proven: right(self, now, r, a, True)
    )


@pytest.mark.parametrize(
    "bug",
    [
        is_told_when_it_is_over,
        takes_the_sender_s_word_for_its_age,
        one_of_two_will_do,
        a_later_word_takes_the_place_of_another_s,
        what_is_given_up_counts_as_not_run,
    ],
)
def test_planted_bugs_are_found_by_chance(bug, monkeypatch):
    bug(monkeypatch)
    assert any(stormy(seed, 1) for seed in range(40))


# the module


def bound(server, until, group=Group.CELL):
    classes = [face.RequestClass(aim=200, deadline=800, effect=Effect.KEYED, group=group, window=500)]
    proxy = Proxy((), classes=classes)
    entries = [face.Entry(name, face.State.LIVE, cell=place) for place, name in enumerate("abc")]
    proxy.give(face.ListChanged(face.ListScope.COMPLETE, entries))
    until += proxy.now
    return proxy, proxy.give(face.Arrived(900, 0, proxy.now + 800, bound=server, window_end=until))


def test_what_may_have_run_elsewhere_goes_there_or_nowhere():
    for server in "abc":
        proxy, actions = bound(server, 400.0)
        assert [a.backend for a in actions if isinstance(a, face.Send)] == [server]
        again = proxy.give(face.Finished(900, 0, Outcome.TIMEOUT, 20.0, False))
        assert not any(isinstance(a, face.Send) and a.backend != server for a in again)
    for server, until in (("gone", 400.0), ("", 400.0), ("a", -5.0)):
        _, actions = bound(server, until)
        assert [type(a) for a in actions] == [face.Fail]  # at once: nothing can come of it
    _, actions = bound("gone", 400.0, Group.ALL)
    assert isinstance(actions[0], face.Refuse)
    proxy, actions = bound("a", 400.0)
    other = proxy.give(face.Arrived(901, 0, proxy.now + 800, bound="a", window_end=proxy.now + 400.0))
    assert not any(isinstance(a, face.Send) for a in other)  # its server is busy: it waits for that one
    sent = proxy.give(face.Finished(900, 0, Outcome.SERVED, 20.0, True))
    assert [a.backend for a in sent if isinstance(a, face.Send)] == ["a"]


# on daemons


def test_a_move_is_answered_or_sent_to_the_same_server_through_another_proxy(tmp_path):
    with Moves(tmp_path) as group:
        for n in range(12):
            assert group.move(n % 3, f"k{n}") == (200, b"moved k%d" % n)
        group.until(lambda: group.wish(2, "replica verify"), "an answer")
        time.sleep(0.3)
        for n in range(12):
            assert group.move((n + 1) % 3, f"k{n}") == (200, b"moved k%d" % n)
        assert all(len(group.places(f"k{n}")) == 1 for n in range(12))  # the answer is known: it ran once
        # another tenant's key, another board's, and one that is alike for 250 bytes are other moves
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


def test_without_fates_a_repeat_may_go_anywhere(tmp_path):
    # what the test above rests on: the same repeats run at another server where nothing is told
    with Moves(tmp_path, "replica.fates = false\n") as group:
        spread = False
        for n in range(12):
            group.move(n % 3, f"k{n}")
            group.move((n + 1) % 3, f"k{n}")
            spread |= len(group.places(f"k{n}")) == 2
        assert spread
