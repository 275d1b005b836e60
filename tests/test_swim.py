"""Membership: the machine among others of its kind in virtual time, and against whatever else may come."""

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


def alone(now=0.0, keys=KEYS, kid="k1", name="me", at=HERE, seeds=(), epoch=1000, seed=1):
    return Swim(name, at, epoch, keys, kid, seeds, PERIOD, random.Random(seed), now)


def carry(a, b, out, now):
    """Deliver what `a` sent, and what comes of it, until both are silent."""
    for _ in range(20):
        out = [part for data, to in out if to == b.address for part in b.receive(now, data, a.address)]
        a, b = b, a
        if not out:
            return


def pair(now=0.0, **more):
    """Two members that know each other."""
    a, b = alone(now), alone(now, name="you", at=THERE, epoch=2000, seed=2, **more)
    carry(a, b, a.tick(now), now)
    a.seeds = [THERE]
    a.next_maintenance = now
    carry(a, b, a.tick(now + 1.0), now + 1.0)
    assert a.members["you"].verified and b.members["me"].verified
    return a, b


# a group


@pytest.mark.parametrize(("size", "loss"), [(3, 0.0), (12, 0.1), (40, 0.0)])
def test_a_group_joins_and_notices_a_death_and_a_restart(size, loss):
    # its members' clocks differ by up to ten minutes
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


def test_one_that_stands_still_for_3_s_is_not_taken_for_dead_and_takes_nobody_for_dead():
    group = Group(8, seed=4)
    group.run(20_000.0)
    group.pause(3, 3_000.0)
    group.run(50_000.0)
    suspected, dead = group.alarms(set(), 20_000.0)
    assert dead == 0 and suspected > 0  # it was missed, and said that it lives
    assert group.swims[3].counts["slept"] == 1 and group.swims[3].incarnation >= 1
    assert group.joined()


def test_one_cut_off_from_half_of_its_peers_stays_known_through_the_others():
    # guards against a broken link taken for a death: the indirect pings go round it
    group = Group(9, seed=5)
    group.run(20_000.0)
    group.cut = lambda a, b: 8 in (a, b) and min(a, b) < 4
    group.run(60_000.0)
    assert group.alarms(set(), 20_000.0)[1] == 0 and group.joined()


def test_a_split_heals():
    group = Group(6, seed=6)
    group.run(20_000.0)
    group.cut = lambda a, b: (a < 3) != (b < 3)
    group.run(80_000.0)
    assert all(
        s.agreement.disconnected and s.agreement.number == 1 for s in group.swims
    )  # neither half is the group
    group.cut = lambda a, b: False
    group.run(160_000.0)
    assert group.joined()


def test_a_record_reaches_all_and_is_passed_on_no_longer():
    group = Group(20, seed=7)
    group.run(20_000.0)
    group.swims[0].broadcast_record(b"key", b"old")
    group.swims[0].broadcast_record(b"key", b"new")
    for step in range(1, 60):
        group.run(20_000.0 + 250.0 * step)
        for s in group.swims[1:]:  # as the driver does: what is news is passed on
            for record in s.received_records:
                if record not in s.queued_records.values() and not getattr(s, "knows", False):
                    s.knows = True
                    s.broadcast_record(b"key", record)
            assert set(s.received_records) <= {b"new"}
            s.received_records.clear()
    assert all(getattr(s, "knows", False) for s in group.swims[1:])
    assert not any(s.queued_records for s in group.swims)


# what else may come


def test_a_replayed_datagram_counts_once_and_an_old_life_not_at_all():
    a, b = pair()
    (data, _), *_ = b.tick(1000.0)
    a.receive(1000.0, data, THERE)
    heard = a.members["you"].heard_at
    assert heard == 1000.0 and not a.receive(2000.0, data, THERE)
    assert a.members["you"].heard_at == heard and a.counts["replayed"] == 1
    fresh = alone(3000.0, epoch=9000)  # a new life, that has never heard of the other's numbers
    out = fresh.receive(3000.0, data, THERE)
    assert all(to == THERE for _, to in out) and len(out) <= 2  # it asks for proof
    assert "you" not in fresh.members


def test_a_number_counts_once_in_its_window():
    m = swim_messages.Member("x", HERE, 1, 0, ALIVE, 0.0)
    assert m.accept_sequence(1000) and m.accept_sequence(900) and m.accept_sequence(1001)
    assert not m.accept_sequence(900) and not m.accept_sequence(1000) and not m.accept_sequence(1001)
    assert not m.accept_sequence(1001 - swim_messages.REPLAY_WINDOW)  # too old to tell
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
def test_what_is_no_datagram_of_a_peer_is_counted_and_answered_by_nothing(data, why):
    machine = alone()
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


def test_a_flood_is_looked_at_no_faster_than_the_limit():
    machine = alone()
    for _ in range(1000):
        machine.receive(1.0, b"x" * 100, THERE)
    assert (
        machine.counts["garbage"] <= swim_members.MAX_DATAGRAM_BURST
        and machine.counts["rate"] >= 1000 - swim_members.MAX_DATAGRAM_BURST
    )


def test_names_and_waiting_answers_are_bounded():
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


def test_a_name_used_by_two_stays_with_the_first_while_it_answers():
    a, b = pair()
    a.members["you"].heard_at = 100.0
    other = alone(name="you", at=("10.1.0.3", 7000), epoch=5000, seed=9, seeds=(HERE,))
    for data, to in other.tick(200.0):
        assert to == HERE and a.receive(200.0, data, other.address) == []
    assert a.members["you"].address == THERE and a.counts["name"] == 1
    namesake = alone(name="me", at=("10.1.0.4", 7000), epoch=5000, seed=8, seeds=(HERE,))
    for data, _ in namesake.tick(200.0):
        assert a.receive(200.0, data, namesake.address) == []
    assert a.counts["name"] == 2


def test_suspicion_is_refuted_and_a_clock_set_back_too():
    machine = alone(epoch=1000)
    machine.apply_update(0.0, Update("me", *HERE, 1000, 0, SUSPECT, "x"))
    assert machine.incarnation == 1
    machine.apply_update(0.0, Update("me", *HERE, 1000, 0, DEAD, "x"))
    assert machine.incarnation == 1  # refuted already
    machine.apply_update(0.0, Update("me", *HERE, 8000, 4, DEAD))
    assert (machine.epoch, machine.incarnation) == (8001, 0)
    machine.apply_update(0.0, Update("me", *THERE, 9000, 0, ALIVE))
    assert machine.epoch == 8001 and machine.counts["name"] == 1


def test_keys_change_in_turn():
    # both hold both keys, one signs with the new one; then the old one goes
    both = {"k1": KEYS["k1"], "k2": b"another key here"}
    a, b = alone(keys=both), alone(name="you", at=THERE, keys=both, kid="k2", seeds=(HERE,), seed=2)
    carry(b, a, b.tick(0.0), 0.0)
    assert a.members["you"].verified and b.members["me"].verified
    b.keys = {"k2": both["k2"]}
    assert not b.receive(10.0, a.tick(900.0)[0][0], HERE) and b.counts["key"] == 1


def test_who_leaves_says_so():
    a, b = pair()
    carry(a, b, a.leave(), 5.0)
    assert b.members["me"].state == LEFT
    assert a.alive() and not b.alive()


def test_word_of_a_stranger_counts_for_nothing_until_he_has_proved_himself():
    machine = alone()
    stranger = alone(name="you", at=THERE, seed=3)
    stranger.apply_update(0.0, Update("x", "10.9.9.9", 7000, 1, 0, ALIVE))
    stranger.send(HERE, GOSSIP, 0, with_gossip=True)
    (data, _) = stranger.flush()[0]
    assert machine.receive(0.0, data, THERE) == [] and not machine.members
    stranger.send(HERE, PING, 5, "me", with_gossip=True)
    (data, _) = stranger.flush()[0]
    answers = machine.receive(1.0, data, THERE)
    assert len(answers) == 2 and not machine.members  # an answer, and a nonce of its own
    assert machine.counts["unproved"] == 1
