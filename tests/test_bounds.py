"""Queues of the replicated group state are bounded; what is dropped at the bound is counted."""

import random
from types import SimpleNamespace

import pytest

from barleybarrow import agreement, agreement_log, agreement_replication, policy_gate, replica, rollout
from barleybarrow.agreement import RaftNode, Role
from barleybarrow.agreement_messages import AppendResponse
from barleybarrow.policy_gate import PolicyGate
from barleybarrow.replica import RangeRequest, Replica, StoredReplica
from barleybarrow.rollout import Join, RolloutState
from barleybarrow.version_vectors import Entry, MergeResult, VersionedState, range_of
from brackenusher.config.operators import PeersSettings
from brackenusher.core.deadlines import Deadlines
from brackenusher.group import streams
from brackenusher.group.streams import Streams
from brackenusher.membership.frames import Open
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.loop import EventLoop

THREE = ["n0", "n1", "n2"]


def leader():
    """A leader that receives no more messages."""
    a = RaftNode("n0", THREE, random.Random(1), 0.0)
    a.campaign(0.0, pre_vote=False)
    a.on_vote_majority(0.0, pre_vote=False)
    a.on_stored(0.0, a.take_ready())
    a.handle_append_response(1.0, "n1", AppendResponse(a.term, True, a.last_index, 0, b"", True))
    assert a.role is Role.LEADER and a.commit_index == a.last_index
    a.take_ready()
    return a


def test_pending_reads_and_messages_of_a_partitioned_leader_are_bounded(monkeypatch):
    monkeypatch.setattr(agreement_log, "MAX_QUEUED_MESSAGES", 500)
    a = leader()
    for n in range(agreement.MAX_PENDING_READS + 5):
        a.request_read(10.0 * n, n)
    assert len(a.pending_reads) == agreement.MAX_PENDING_READS and a.counters["reads"] == 5
    for n in range(1000):
        a.broadcast_heartbeat(10_000.0 + n)
    assert len(a.ready.messages) <= 500 and a.counters["messages"] >= 1000
    assert a.dropped == a.counters["reads"] + a.counters["messages"]


def test_followers_and_the_roster_are_bounded(monkeypatch):
    monkeypatch.setattr(agreement_replication, "MAX_FOLLOWERS", 5)
    monkeypatch.setattr(rollout, "MAX_ROSTER", 3)
    a, book = leader(), RolloutState()
    for n in range(9):
        a.handle_append_response(2.0, f"m{n}", AppendResponse(a.term, True, 0, 0, b"", False))
        book.apply(n + 1, policy_gate.msgpack.encode(Join(f"m{n}")))
        book.apply(
            n + 1, policy_gate.msgpack.encode(Join("m0"))
        )  # a member that is known already needs no space
    assert len(a.progress) == 5 and a.counters["learners"] == 6  # the two voters are among the five
    assert list(book.roster) == ["m0", "m1", "m2"] and book.rejected_commands == 6


def test_unanswered_reads_are_bounded():
    g = PolicyGate("n9", THREE, random.Random(1), 0.0)
    for n in range(100):
        g.tick(200.0 * n)
    assert 0 < len(g.read_sent_at) <= policy_gate.MAX_PENDING_READS


def alone(held=0, keys=lambda n: f"server x{n}", room=10_000):
    """An acceptor that has caught up and whose messages reach nobody."""
    every = [Entry(keys(n), "n0~0", n + 1, {}, b"1") for n in range(held)]
    m = Replica("n0", THREE, random.Random(1), 0.0, StoredReplica("n0~0", True, every, {"n0~0": held}), room)
    m.reachable = ["n1", "n2"]
    m.mark_caught_up()
    m.take_ready()
    return m


def test_pending_writes_and_messages_of_an_acceptor_with_a_slow_disk_are_bounded(monkeypatch):
    monkeypatch.setattr(replica, "MAX_QUEUED_MESSAGES", 100)
    m = alone()
    for n in range(replica.MAX_PENDING_WRITES):
        assert m.write_refusal() == "" and m.write(1.0, n, f"server s{n}", b"1")
    assert "too many writes" in m.write_refusal()
    for n in range(40):
        m.tick(100.0 * n)  # the output is not taken meanwhile
    assert len(m.ready.messages) <= 100 and m.counts["messages"] > 0 and m.dropped == m.counts["messages"]
    m.tick(replica.WRITE_TIMEOUT_MS + 10.0)
    assert (
        not m.pending_writes
        and [good for _, good in m.ready.write_results] == [False] * replica.MAX_PENDING_WRITES
    )


def test_known_peers_are_bounded(monkeypatch):
    monkeypatch.setattr(replica, "MAX_PEERS", 4)
    m = alone()
    for n in range(9):
        m.peer_state(f"m{n}").last_heard_at = float(n)
    assert list(m.peers) == ["m5", "m6", "m7", "m8"] and m.counts["others"] == 5


@pytest.mark.parametrize(("most", "told"), [(4096, 1), (10, 0)])
def test_a_range_too_large_to_send_is_skipped(most, told, monkeypatch):
    monkeypatch.setattr(replica, "MAX_RANGE_ENTRIES", most)
    same = [key for key in (f"server y{n}" for n in range(6000)) if range_of(key) == 7][:20]
    m = alone(len(same), lambda n: same[n])
    m.receive(1.0, "n1", RangeRequest(5, 7))
    assert len([x for _, x in m.ready.messages if isinstance(x, replica.RangeReply)]) == told
    assert m.counts["ranges"] == 1 - told


def test_entries_and_origins_of_a_replica_are_bounded(monkeypatch):
    monkeypatch.setattr("barleybarrow.version_vectors.MAX_ORIGINS", 3)
    state = VersionedState(5)
    found = [state.merge(Entry(f"server s{n}", f"o{n}", 1, {}, b"1")) for n in range(5)]
    assert found == [MergeResult.APPLIED] * 3 + [MergeResult.FULL] * 2 and state.counts["room"] == 2
    over = Entry("server s0", "o0", 2, {"o0": 1}, b"2")
    assert state.merge(over) is MergeResult.APPLIED  # what supersedes as much always has room
    assert [state.write("o1", f"server t{n}", b"1") is not None for n in range(4)] == [True] * 2 + [False] * 2


def test_messages_for_an_unknown_peer_and_incoming_streams_are_bounded(monkeypatch):
    monkeypatch.setattr(streams, "MAX_QUEUED_BYTES", 10_000)
    monkeypatch.setattr(streams, "MAX_INCOMING_STREAMS", 0)
    peers = PeersSettings(keys={"k1": b"x" * 16}, sign="k1")
    made = Streams(EventLoop(Deadlines()), BufferPool(), peers, "n0", lambda name: None)
    for _ in range(100):
        made.send("n1", b"x" * 1000)
    out = made.out["n1"]
    assert out.queued_bytes <= 10_000 and made.counts["room"] == 90 and made.counts["unknown"] >= 1
    made.dispatch("n1", streams.CHANNEL_PREFIX + b"z" + b"for a part that is not there")
    assert made.counts["parts"] == 1
    assert list(made.serve(SimpleNamespace(), Open("n1", 1, 1))) == [] and made.counts["streams"] == 1
