"""What waits in the group's parts has a bound, reached here, and a counter of what was left out."""

import random
from types import SimpleNamespace

import pytest

from barleybarrow import agreement, agreement_log, agreement_replication, policy_gate, replica, rollout
from barleybarrow.agreement import Agreement, Role
from barleybarrow.agreement_messages import Appended
from barleybarrow.policy_gate import PolicyGate
from barleybarrow.replica import AskRange, Kept, Replica
from barleybarrow.rollout import Book, Join
from barleybarrow.version_vectors import Entry, State, Taken, range_of
from brackenusher.config.operators import PeersSettings
from brackenusher.core.deadlines import Deadlines
from brackenusher.group import streams
from brackenusher.group.streams import Streams
from brackenusher.membership.frames import Open
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.loop import Loop

THREE = ["n0", "n1", "n2"]


def leader():
    """One that leads, and hears nobody any more."""
    a = Agreement("n0", THREE, random.Random(1), 0.0)
    a.stand(0.0, probe=False)
    a.elected(0.0, probe=False)
    a.stored(0.0, a.take())
    a.appended(1.0, "n1", Appended(a.term, True, a.last, 0, b"", True))
    assert a.role is Role.LEADER and a.commit == a.last
    a.take()
    return a


def test_questions_and_messages_of_a_leader_that_hears_nobody(monkeypatch):
    monkeypatch.setattr(agreement_log, "MOST_MESSAGES", 500)
    a = leader()
    for n in range(agreement.MOST_READS + 5):
        a.read(10.0 * n, n)
    assert len(a.questions) == agreement.MOST_READS and a.counts["reads"] == 5
    for n in range(1000):
        a.beat(10_000.0 + n)
    assert len(a.ready.messages) <= 500 and a.counts["messages"] >= 1000
    assert a.dropped == a.counts["reads"] + a.counts["messages"]


def test_learners_and_the_roster(monkeypatch):
    monkeypatch.setattr(agreement_replication, "MOST_LEARNERS", 5)
    monkeypatch.setattr(rollout, "MOST_ROSTER", 3)
    a, book = leader(), Book()
    for n in range(9):
        a.appended(2.0, f"m{n}", Appended(a.term, True, 0, 0, b"", False))
        book.apply(n + 1, policy_gate.msgpack.encode(Join(f"m{n}")))
        book.apply(n + 1, policy_gate.msgpack.encode(Join("m0")))  # one that is there needs no room
    assert len(a.progress) == 5 and a.counts["learners"] == 6  # the two voters are among the five
    assert list(book.roster) == ["m0", "m1", "m2"] and book.refused == 6


def test_questions_that_nobody_answers():
    g = PolicyGate("n9", THREE, random.Random(1), 0.0)
    for n in range(100):
        g.tick(200.0 * n)
    assert 0 < len(g.asked) <= policy_gate.MOST_QUESTIONS


def alone(held=0, keys=lambda n: f"server x{n}", room=10_000):
    """A keeper that has caught up with whoever there is, and is heard by nobody."""
    every = [Entry(keys(n), "n0~0", n + 1, {}, b"1") for n in range(held)]
    m = Replica("n0", THREE, random.Random(1), 0.0, Kept("n0~0", True, every, {"n0~0": held}), room)
    m.reach = ["n1", "n2"]
    m.caught_up()
    m.take()
    return m


def test_writes_on_their_way_and_messages_of_a_keeper_whose_disk_is_slow(monkeypatch):
    monkeypatch.setattr(replica, "MOST_MESSAGES", 100)
    m = alone()
    for n in range(replica.MOST_WRITES):
        assert m.may_write() == "" and m.write(1.0, n, f"server s{n}", b"1")
    assert "too many writes" in m.may_write()
    for n in range(40):
        m.tick(100.0 * n)  # nothing is taken meanwhile
    assert len(m.ready.messages) <= 100 and m.counts["messages"] > 0 and m.dropped == m.counts["messages"]
    m.tick(replica.WRITTEN + 10.0)
    assert not m.writes and [good for _, good in m.ready.done] == [False] * replica.MOST_WRITES


def test_others_that_are_known_of(monkeypatch):
    monkeypatch.setattr(replica, "MOST_OTHERS", 4)
    m = alone()
    for n in range(9):
        m.other(f"m{n}").heard_at = float(n)
    assert list(m.others) == ["m5", "m6", "m7", "m8"] and m.counts["others"] == 5


@pytest.mark.parametrize(("most", "told"), [(4096, 1), (10, 0)])
def test_a_range_too_large_to_be_told_is_left_as_it_is(most, told, monkeypatch):
    monkeypatch.setattr(replica, "MOST_IN_RANGE", most)
    same = [key for key in (f"server y{n}" for n in range(6000)) if range_of(key) == 7][:20]
    m = alone(len(same), lambda n: same[n])
    m.receive(1.0, "n1", AskRange(5, 7))
    assert len([x for _, x in m.ready.messages if isinstance(x, replica.TellRange)]) == told
    assert m.counts["ranges"] == 1 - told


def test_entries_and_origins_of_a_copy(monkeypatch):
    monkeypatch.setattr("barleybarrow.version_vectors.MOST_ORIGINS", 3)
    state = State(5)
    found = [state.take(Entry(f"server s{n}", f"o{n}", 1, {}, b"1")) for n in range(5)]
    assert found == [Taken.NEWS] * 3 + [Taken.ROOM] * 2 and state.counts["room"] == 2
    over = Entry("server s0", "o0", 2, {"o0": 1}, b"2")
    assert state.take(over) is Taken.NEWS  # what supersedes as much always has room
    assert [state.write("o1", f"server t{n}", b"1") is not None for n in range(4)] == [True] * 2 + [False] * 2


def test_what_waits_for_a_peer_that_nobody_finds_and_streams_that_are_taken(monkeypatch):
    monkeypatch.setattr(streams, "MOST_WAITING", 10_000)
    monkeypatch.setattr(streams, "MOST_STREAMS", 0)
    peers = PeersSettings(keys={"k1": b"x" * 16}, sign="k1")
    made = Streams(Loop(Deadlines()), Buffers(), peers, "n0", lambda name: None)
    for _ in range(100):
        made.send("n1", b"x" * 1000)
    out = made.out["n1"]
    assert out.size <= 10_000 and made.counts["room"] == 90 and made.counts["unknown"] >= 1
    made.hand("n1", streams.NAMED + b"z" + b"for a part that is not there")
    assert made.counts["parts"] == 1
    assert list(made.serve(SimpleNamespace(), Open("n1", 1, 1))) == [] and made.counts["streams"] == 1
