"""SWIM membership: groups in virtual time, and invalid, replayed or excessive datagrams."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from barleybarrow.views import ALIVE, DEAD, LEFT, MAX_MEMBERS, SUSPECT
from brackenusher.membership import swim, swim_members, swim_messages
from brackenusher.membership.seal import DATAGRAM, FRAME, seal
from brackenusher.membership.swim import Swim
from brackenusher.membership.swim_messages import GOSSIP, PING, Update
from testbed.group import KEYS, PERIOD, Group

HERE, THERE = ("10.1.0.1", 7000), ("10.1.0.2", 7000)


def make_swim(now=0.0, keys=KEYS, kid="k1", name="me", address=HERE, seeds=(), epoch=1000, seed=1):
    return Swim(name, address, epoch, keys, kid, seeds, PERIOD, random.Random(seed), now)


def deliver(a, b, datagrams, now):
    """Deliver datagrams of `a` and the replies until neither side sends more."""
    for _ in range(20):
        datagrams = [
            reply for data, to in datagrams if to == b.address for reply in b.receive(now, data, a.address)
        ]
        a, b = b, a
        if not datagrams:
            return


def pair(now=0.0, **more):
    """Return two members that have verified each other."""
    a, b = make_swim(now), make_swim(now, name="you", address=THERE, epoch=2000, seed=2, **more)
    deliver(a, b, a.tick(now), now)
    a.seeds = [THERE]
    a.next_maintenance = now
    deliver(a, b, a.tick(now + 1.0), now + 1.0)
    assert a.members["you"].verified and b.members["me"].verified
    return a, b


# groups


@pytest.mark.parametrize(("size", "loss"), [(3, 0.0), (12, 0.1), (40, 0.0)])
def test_group_converges_and_detects_a_crash_and_a_restart(size, loss):
    # the members' clocks differ by up to ten minutes
    group = Group(size, seed=size, loss=loss)
    group.run(20_000.0)
    assert group.joined() and max(group.sent) > 0
    group.crash(size - 1)
    group.run(60_000.0)
    others = set(range(size - 1))
    assert len(group.told(size - 1, DEAD, 20_000.0, others)) == size - 1
    assert group.alarms({size - 1}, 0.0)[1] == 0
    group.restart(size - 1)
    group.run(75_000.0)
    assert group.joined()
    assert group.longest <= swim_members.MAX_DATAGRAM_BYTES


def test_stall_of_3_s_causes_no_death_of_the_member_or_of_others():
    group = Group(8, seed=4)
    group.run(20_000.0)
    group.pause(3, 3_000.0)
    group.run(50_000.0)
    suspected, dead = group.alarms(set(), 20_000.0)
    assert dead == 0 and suspected > 0  # it was suspected and refuted
    assert group.swims[3].counts["slept"] == 1 and group.swims[3].incarnation >= 1
    assert group.joined()


def test_indirect_pings_keep_a_member_alive_that_half_of_its_peers_cannot_reach():
    # guards against a broken link being taken for a crash: indirect pings avoid the link
    group = Group(9, seed=5)
    group.run(20_000.0)
    group.cut = lambda a, b: 8 in (a, b) and min(a, b) < 4
    group.run(60_000.0)
    assert group.alarms(set(), 20_000.0)[1] == 0 and group.joined()


def test_group_recovers_from_a_partition_in_which_neither_half_has_a_majority():
    group = Group(6, seed=6)
    group.run(20_000.0)
    group.cut = lambda a, b: (a < 3) != (b < 3)
    group.run(80_000.0)
    assert all(
        s.agreement.disconnected and s.agreement.number == 1 for s in group.swims
    )  # neither half has a majority
    group.cut = lambda a, b: False
    group.run(160_000.0)
    assert group.joined()


def test_record_reaches_all_members_and_its_gossip_ends():
    group = Group(20, seed=7)
    group.run(20_000.0)
    group.swims[0].broadcast_record(b"key", b"old")
    group.swims[0].broadcast_record(b"key", b"new")
    for step in range(1, 60):
        group.run(20_000.0 + 250.0 * step)
        for s in group.swims[1:]:  # as the driver does: forward new records
            for record in s.received_records:
                if record not in s.queued_records.values() and not getattr(s, "knows", False):
                    s.knows = True
                    s.broadcast_record(b"key", record)
            assert set(s.received_records) <= {b"new"}
            s.received_records.clear()
    assert all(getattr(s, "knows", False) for s in group.swims[1:])
    assert not any(s.queued_records for s in group.swims)


# invalid, replayed and excessive datagrams


def test_replayed_datagram_is_rejected_also_by_a_restarted_receiver():
    a, b = pair()
    (data, _), *_ = b.tick(1000.0)
    a.receive(1000.0, data, THERE)
    heard = a.members["you"].heard_at
    assert heard == 1000.0 and not a.receive(2000.0, data, THERE)
    assert a.members["you"].heard_at == heard and a.counts["replayed"] == 1
    fresh = make_swim(3000.0, epoch=9000)  # a new epoch without the sender's sequence numbers
    out = fresh.receive(3000.0, data, THERE)
    assert all(to == THERE for _, to in out) and len(out) <= 2  # it challenges the sender
    assert "you" not in fresh.members


def test_sequence_number_is_accepted_once_within_the_replay_window():
    m = swim_messages.Member("x", HERE, 1, 0, ALIVE, 0.0)
    assert m.accept_sequence(1000) and m.accept_sequence(900) and m.accept_sequence(1001)
    assert not m.accept_sequence(900) and not m.accept_sequence(1000) and not m.accept_sequence(1001)
    assert not m.accept_sequence(1001 - swim_messages.REPLAY_WINDOW)  # below the window
    assert m.accept_sequence(10**6) and not m.accept_sequence(1001)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "garbage"),
        (b"x" * 200, "garbage"),
        (b"y" * 65_000, "long"),
        (seal(b"not the key", "k1", DATAGRAM, b"x"), "mac"),
        (seal(KEYS["k1"], "k9", DATAGRAM, b"x"), "key"),
        (seal(KEYS["k1"], "k1", FRAME, b"x"), "mac"),
        (b"bk\x07\x02k1" + b"x" * 40, "form"),
        (seal(KEYS["k1"], "k1", DATAGRAM, b"\xdd\xff\xff\xff\xff"), "garbage"),
        (seal(KEYS["k1"], "k1", DATAGRAM, b"\x91" * 1300), "garbage"),
    ],
)
def test_invalid_datagram_is_counted_and_not_answered(data, why):
    machine = make_swim()
    assert machine.receive(0.0, data, THERE) == []
    assert machine.counts == {why: 1} and not machine.members and not machine.waiting


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 10_000), st.binary(max_size=60), st.booleans()), max_size=12))
def test_no_datagram_breaks_it_or_makes_it_grow(found):
    # fuzz: sealed rubbish, bent datagrams of a peer's, and time that goes on between them
    a, b = pair()
    now, sent = 10.0, [data for data, _ in b.tick(1000.0)]
    for step, body, sealed in found:
        now += step
        good = sent[step % len(sent)]
        bent = good[: step % len(good)] + body + good[step % len(good) + len(body) :]
        a.receive(now, seal(KEYS["k1"], "k1", DATAGRAM, body) if sealed else bent, THERE)
        a.tick(now)
    assert set(a.members) <= {"you"} and len(a.waiting) < 10 and len(a.news) <= 2


def test_flood_is_processed_only_at_the_rate_limit():
    machine = make_swim()
    for _ in range(1000):
        machine.receive(1.0, b"x" * 100, THERE)
    assert (
        machine.counts["garbage"] <= swim_members.MAX_DATAGRAM_BURST
        and machine.counts["rate"] >= 1000 - swim_members.MAX_DATAGRAM_BURST
    )


def test_members_pending_pings_and_records_are_bounded():
    a, b = pair()
    me = a.members["you"]
    for n in range(MAX_MEMBERS + 50):
        a.apply_update(0.0, Update(f"x{n}", f"10.2.{n >> 8}.{n & 255}", 7000, 1, 0, ALIVE))
    assert len(a.members) == MAX_MEMBERS and a.counts["members"] >= 50
    for n in range(1000):
        a.ping(0.0, me, PERIOD)
        a.broadcast_record(b"%d" % n, b"r")
    assert (
        len(a.waiting) <= swim.MAX_PENDING_PINGS and len(a.queued_records) <= swim_members.MAX_QUEUED_RECORDS
    )
    assert all(len(data) <= swim_members.MAX_DATAGRAM_BYTES for data, _ in a.flush())


def test_duplicate_name_stays_with_the_first_process_while_it_answers():
    a, b = pair()
    a.members["you"].heard_at = 100.0
    other = make_swim(name="you", address=("10.1.0.3", 7000), epoch=5000, seed=9, seeds=(HERE,))
    for data, to in other.tick(200.0):
        assert to == HERE and a.receive(200.0, data, other.address) == []
    assert a.members["you"].address == THERE and a.counts["name"] == 1
    namesake = make_swim(name="me", address=("10.1.0.4", 7000), epoch=5000, seed=8, seeds=(HERE,))
    for data, _ in namesake.tick(200.0):
        assert a.receive(200.0, data, namesake.address) == []
    assert a.counts["name"] == 2


def test_suspicion_and_a_higher_epoch_of_the_same_address_are_refuted():
    machine = make_swim(epoch=1000)
    machine.apply_update(0.0, Update("me", *HERE, 1000, 0, SUSPECT, "x"))
    assert machine.incarnation == 1
    machine.apply_update(0.0, Update("me", *HERE, 1000, 0, DEAD, "x"))
    assert machine.incarnation == 1  # already refuted
    machine.apply_update(0.0, Update("me", *HERE, 8000, 4, DEAD))
    assert (machine.epoch, machine.incarnation) == (8001, 0)
    machine.apply_update(0.0, Update("me", *THERE, 9000, 0, ALIVE))
    assert machine.epoch == 8001 and machine.counts["name"] == 1


def test_key_rotation_keeps_members_verified():
    # both hold both keys and one signs with the new one; then the old key is removed
    both = {"k1": KEYS["k1"], "k2": b"another key here"}
    a, b = (
        make_swim(keys=both),
        make_swim(name="you", address=THERE, keys=both, kid="k2", seeds=(HERE,), seed=2),
    )
    deliver(b, a, b.tick(0.0), 0.0)
    assert a.members["you"].verified and b.members["me"].verified
    b.keys = {"k2": both["k2"]}
    assert not b.receive(10.0, a.tick(900.0)[0][0], HERE) and b.counts["key"] == 1


def test_departure_is_announced():
    a, b = pair()
    deliver(a, b, a.leave(), 5.0)
    assert b.members["me"].state == LEFT
    assert a.alive() and not b.alive()


def test_gossip_of_an_unverified_sender_is_ignored():
    machine = make_swim()
    stranger = make_swim(name="you", address=THERE, seed=3)
    stranger.apply_update(0.0, Update("x", "10.9.9.9", 7000, 1, 0, ALIVE))
    stranger.send(HERE, GOSSIP, 0, with_gossip=True)
    (data, _) = stranger.flush()[0]
    assert machine.receive(0.0, data, THERE) == [] and not machine.members
    stranger.send(HERE, PING, 5, "me", with_gossip=True)
    (data, _) = stranger.flush()[0]
    answers = machine.receive(1.0, data, THERE)
    assert len(answers) == 2 and not machine.members  # an ack, and a ping with its own nonce
    assert machine.counts["unproved"] == 1
