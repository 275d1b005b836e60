"""Shared knowledge: evidence and its merging, its effect on the policy, its encoding in files and frames."""

import itertools
import subprocess
import sys
from dataclasses import replace
from math import exp, inf, log, nan

import pytest
from helpers import ROOT, SAFE, Proxy
from hypothesis import given, settings
from hypothesis import strategies as st

from barleybarrow import brain, state
from barleybarrow import interface as face
from barleybarrow import knowledge as known
from barleybarrow.interface import Outcome, State
from barleybarrow.knowledge import (
    AttemptOutcomes,
    Evidence,
    EvidencePublisher,
    EvidenceStore,
    first_hand_evidence,
    latency_factor,
)
from brackenusher.config.operators import parse_operator_settings
from brackenusher.config.platform import ConfigError
from brackenusher.membership import frames, snapshot
from brackenusher.membership.frames import (
    Asked,
    FrameError,
    Piece,
    Reader,
    Told,
    decode,
    encode,
    pack,
    unpack,
)
from brackenusher.membership.snapshot import Snapshot, SnapshotError

KEYS = {"k1": b"0123456789abcdef"}
NOW = 1_000_000.0
STEADY = settings(derandomize=True, max_examples=150, deadline=None)
BASE = Evidence("s0", 5.0, "p1", 1, 1, NOW - 100.0, slower=1.0)


def make_evidence(origin="p1", backend="s0", slower=1.0, **more):
    return replace(BASE, origin=origin, backend=backend, slower=slower, **more)


def peer_estimates(store, now=NOW, born_at=None, excluded_origin=("me", 1)):
    return store.peer_estimates(now, born_at or {"s0": 5.0}, excluded_origin)


# evidence and the store

pieces = st.builds(
    make_evidence,
    origin=st.sampled_from(["p1", "p2"]),
    backend=st.sampled_from(["s0", "s1"]),
    slower=st.sampled_from([-1.0, 0.5, 2.0]),
    epoch=st.integers(1, 2),
    serial=st.integers(1, 3),
    at=st.sampled_from([NOW - 5.0, NOW - 900.0]),
)


@STEADY
@given(st.lists(pieces, max_size=8), st.randoms(use_true_random=False))
def test_merging_hangs_neither_on_order_nor_on_repetition(found, rng):
    # guards against two proxies that heard the same and believe different things for ever
    one, other = EvidenceStore(), EvidenceStore()
    for e in found:
        one.merge(e, NOW)
    again = found * 2
    rng.shuffle(again)
    for e in again:
        other.merge(e, NOW)
    assert one.by_backend == other.by_backend and one.size == other.size == len(list(one.all_evidence()))


def test_circulating_copies_gain_neither_weight_nor_youth():
    # guards against evidence that gains weight or youth by circulating among proxies, one of which restarts
    stores = [EvidenceStore(), EvidenceStore(), EvidenceStore()]
    stores[0].merge(make_evidence(), NOW)
    first, now = peer_estimates(stores[0]), NOW
    for step in range(60):
        now += 500.0
        a, b = stores[step % 3], stores[(step + 1) % 3]
        if step % 7 == 6:
            stores[(step + 1) % 3] = b = EvidenceStore()
        for e in list(a.all_evidence()):
            b.merge(decode(encode(e, now), now), now)
    for store in stores:
        slower, weight = peer_estimates(store, now)["s0"]
        assert slower == 1.0
        assert weight == pytest.approx(first["s0"][1] * exp(-known.DECAY_PER_S * 30.0), rel=0.01)


@pytest.mark.parametrize(
    "change",
    [
        {"slower": nan},
        {"slower": inf},
        {"slower": 11.0},
        {"weight": 1.5},
        {"failing": -0.1},
        {"at": NOW + 1.0},
        {"at": -inf},
        {"backend": ""},
        {"backend": "x" * 129},
        {"origin": "a\nb"},
        {"epoch": 2**60},
        {"limit": 1e9},
    ],
)
def test_invalid_evidence_is_rejected_and_counted(change):
    store = EvidenceStore()
    assert not store.merge(replace(BASE, **change), NOW)
    assert (store.size, store.invalid) == (0, 1)


def test_store_is_bounded_and_evicts_the_oldest():
    store = EvidenceStore(capacity=16)
    for n in range(100):
        store.merge(make_evidence(backend=f"s{n}", at=NOW - 1000.0 + n), NOW)
    assert store.size <= 16 and "s99" in store.by_backend and "s0" not in store.by_backend
    assert store.dropped == 100 - store.size
    store.prune(NOW + known.MAX_EVIDENCE_AGE_MS)
    assert store.size == 0 and not store.by_backend


def test_one_outlier_among_five_origins_is_ignored_and_incarnations_are_separate():
    # guards against one misbehaving proxy whose evidence empties the pool for the others
    store = EvidenceStore()
    for n in range(4):
        store.merge(make_evidence(f"p{n}", slower=0.05 * n), NOW)
    store.merge(make_evidence("liar", slower=9.0), NOW)
    assert peer_estimates(store)["s0"][0] <= 0.15
    assert peer_estimates(store, born_at={"s0": 6.0}) == {}
    own = EvidenceStore()
    own.merge(make_evidence("me", epoch=1), NOW)
    # evidence of an earlier incarnation of this proxy counts as a peer's
    assert peer_estimates(own) == {} and "s0" in peer_estimates(own, excluded_origin=("me", 2))


def test_peer_estimates_only_lower_within_bounds_and_yield_to_own_answers():
    assert latency_factor(-5.0, 1.0, 0.0, 0) == 1.0 == latency_factor(3.0, 0.0, 0.0, 0)
    assert latency_factor(1.0, 1.0, 0.0, 0) == pytest.approx(exp(1.0))
    assert latency_factor(50.0, 9.0, -50.0, 0) <= 8.001
    factors = [latency_factor(2.0, 1.0, 0.0, seen) for seen in (0, 1, 2, 4, 8, 16)]
    assert factors == sorted(factors, reverse=True) and factors[-1] < 1.3
    assert latency_factor(1.0, 1.0, 1.0, 0) == 1.0  # this proxy's own estimate is the same


def test_evidence_decays_at_the_rate_of_the_policy():
    # guards against a decay of evidence that differs from the policy's
    assert pytest.approx(known.DECAY_PER_S) == state.PEER_DECAY_FACTOR * brain.MEAN_DECAY_PER_S


# first-hand evidence


def test_slowness_of_the_origin_cancels_and_failures_raise_the_cost():
    # guards against the scale of an origin: with all latencies tenfold, its evidence must be the same
    found = []
    for scale in (1.0, 10.0):
        proxy = Proxy(("s0", "s1", "s2", "s3"))
        for _ in range(60):  # four concurrent requests, so that each server gets some
            for request in [proxy.arrive() for _ in range(4)]:
                proxy.now += 5.0
                slow = proxy.backend(request) == "s2"
                proxy.finish(request, elapsed=scale * (60.0 if slow else 12.0))
        outcomes, born_at = AttemptOutcomes(), dict.fromkeys(proxy.brain.backends, 5.0)
        for name in proxy.brain.backends:
            outcomes.on_attempt_end(proxy.now - 50.0, name, Outcome.SERVED)
        outcomes.on_attempt_end(proxy.now, "s3", Outcome.TIMEOUT)
        outcomes.on_attempt_end(proxy.now, "gone", Outcome.SERVED)
        found.append(
            {e.backend: e for e in first_hand_evidence(proxy.brain.backends, outcomes, born_at, "p1", 1)}
        )
    for a, b in zip(*(f.values() for f in found), strict=True):
        assert a.slower == pytest.approx(b.slower, abs=0.25)
    one = found[0]
    assert set(one) == {"s0", "s1", "s2", "s3"} and one["s2"].slower > log(1.5)
    assert (one["s3"].silent, one["s3"].answered, one["s0"].silent) == (0.0, 50.0, known.NEVER)


def test_only_significant_changes_are_published():
    publisher = EvidencePublisher()
    assert [
        e.serial for e in publisher.take_updates([make_evidence(), make_evidence(backend="s1")], NOW)
    ] == [1, 2]
    assert not publisher.take_updates(
        [make_evidence(slower=1.1, at=NOW), make_evidence(backend="s1", slower=0.9)], NOW + 1000.0
    )
    assert [e.serial for e in publisher.take_updates([make_evidence(slower=1.5, at=NOW)], NOW + 1000.0)] == [
        3
    ]
    assert not publisher.take_updates(
        [make_evidence(slower=1.5, at=NOW)], NOW + 60_000.0
    )  # no newer observation
    assert [
        e.serial for e in publisher.take_updates([make_evidence(slower=1.5, at=NOW + 5.0)], NOW + 60_000.0)
    ] == [4]


# the policy


def give_peer_estimates(proxy, *backends, slower=2.0, weight=1.0, started=0.0):
    return proxy.give(face.Told([face.Hearsay(b, started, slower, weight) for b in backends]))


def first_backend(proxy, span=800):
    return proxy.backend(proxy.arrive(SAFE, span))


def test_policy_ranks_slow_backends_lower_but_keeps_them():
    proxy = Proxy(("s0", "s1", "s2"))
    give_peer_estimates(proxy, "s0", "s1")
    sent = {first_backend(proxy) for _ in range(3)}
    # ranked lower, but used when others are full
    assert proxy.sent[0][1] == "s2" and sent == {"s0", "s1", "s2"}


def test_uniform_peer_estimates_keep_the_pool_and_other_incarnations_are_ignored():
    proxy = Proxy(("s0", "s1", "s2"))
    give_peer_estimates(proxy, "s0", started=7.0)
    give_peer_estimates(proxy, "nobody")
    assert proxy.brain.backends["s0"].peer_factor == 1.0
    give_peer_estimates(proxy, "s0", "s1", "s2")
    assert {first_backend(proxy) for _ in range(3)} == {"s0", "s1", "s2"}
    assert not proxy.answers


def test_peer_estimates_decay_with_time_and_with_own_answers():
    # guards against a recovered server that never gets a request again
    proxy = Proxy(("s0", "s1"))
    give_peer_estimates(proxy, "s0")
    assert first_backend(proxy) == "s1" and first_backend(proxy) == "s0"
    before = proxy.brain.backends["s0"].peer_factor
    proxy.finish(2, elapsed=20.0)
    assert 1.0 < proxy.brain.backends["s0"].peer_factor < before**0.71
    proxy.finish(1, elapsed=20.0)
    proxy.sweep(40_000, step=200)
    assert proxy.brain.backends["s0"].peer_factor < 1.1


def test_peer_estimate_does_not_speed_up_a_cold_start():
    # guards against overloading a newly started server because its name is known as fast: cold start wins
    def sent_backends(with_estimate):
        proxy = Proxy(cold_from=0.3, cold=8000.0, tip_multiple=2.0, tip_after=500.0)
        proxy.list(
            face.Entry("cold", State.LIVE, proxy.now), *(face.Entry(f"s{n}", State.LIVE) for n in range(3))
        )
        if with_estimate:
            give_peer_estimates(proxy, "cold", slower=-5.0, started=proxy.now)
        proxy.warm_up(60)
        return [b for _, b in proxy.sent]

    assert sent_backends(True) == sent_backends(False)


# encoding


def test_evidence_survives_a_frame_and_a_file_with_its_age():
    record = encode(BASE, NOW)
    assert decode(record, 500.0) == replace(BASE, at=400.0)
    frame = pack(Told(3, "p1", 1, [record]), KEYS["k1"], "k1")
    body = Reader().feed(frame)
    answer = unpack(KEYS, body)
    assert isinstance(answer, Told) and decode(answer.records[0], NOW) == BASE
    longer = frames.ENCODER.encode([*frames.msgspec.msgpack.decode(record), "of a later form"])
    assert decode(longer, NOW) == BASE
    with pytest.raises(FrameError, match="key"):
        unpack({"k2": KEYS["k1"]}, body)
    with pytest.raises(FrameError, match="mac"):
        unpack({"k1": b"another key"}, body)


@STEADY
@given(st.binary(max_size=200), st.integers(0, 40), st.integers(0, 255))
def test_no_bytes_do_harm_to_the_readers(data, place, byte):
    # fuzz: whatever comes, each reader raises its own error or gives something whole, and keeps nothing more
    good = pack(Asked(5), KEYS["k1"], "k1")
    bent = good[: place % len(good)] + bytes((byte,)) + good[place % len(good) + 1 :]
    for text in (data, bent, good[4:] + data):
        reader = Reader(1024)
        try:
            body = reader.feed(text)
            if body is not None:
                assert unpack(KEYS, body) == Asked(5)
        except FrameError:
            pass
        assert len(reader.buffer) <= 1029
    head = snapshot.encode(Snapshot(NOW, "p1", 1, []))
    for text in (data, head[:place], head + data, head[:place] + data):
        try:
            assert snapshot.decode(text, NOW).name == "p1"
        except SnapshotError:
            pass
    try:
        EvidenceStore().merge(decode(data, NOW), NOW)
    except known.InvalidEvidenceError:
        pass


def test_frame_of_4_gb_is_rejected_by_its_length_prefix():
    reader = Reader()
    with pytest.raises(FrameError, match="4294967295"):
        reader.feed(b"\xff\xff\xff\xff" + b"x" * 100_000)


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda d: d[:-1], "cut short"),
        (lambda d: d + b"x", "cut short"),
        (lambda d: b"{}", "no snapshot"),
        (lambda d: d.replace(b"snapshot 1", b"snapshot 2"), "another form"),
        (lambda d: snapshot.encode(Snapshot(NOW + 1e9, "p1", 1, [])), "future"),
    ],
)
def test_unusable_file_is_reported_and_set_aside(tmp_path, spoil, why):
    path = tmp_path / "knowledge"
    snapshot.write(str(path), snapshot.encode(Snapshot(NOW, "p1", 1, [encode(BASE, NOW)])))
    assert snapshot.read(str(path), NOW).records == [encode(BASE, NOW)]
    assert [p.name for p in tmp_path.iterdir()] == ["knowledge"]  # no temporary file remains
    path.write_bytes(spoil(path.read_bytes()))
    with pytest.raises(SnapshotError, match=why):
        snapshot.read(str(path), NOW)
    snapshot.set_aside(str(path))
    with pytest.raises(FileNotFoundError):
        snapshot.read(str(path), NOW)


def test_failed_write_keeps_the_old_file(tmp_path):
    path = tmp_path / "knowledge"
    snapshot.write(str(path), b"old")
    (tmp_path / "knowledge.new").mkdir()
    with pytest.raises(OSError):
        snapshot.write(str(path), b"new")
    assert path.read_bytes() == b"old"


# settings

PEERS = "peers.enabled = true\npeers.listen = 127.0.0.1:7000\npeers.key.a = 00ff\n"


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("peers.enabled = true\n", "peers.listen"),
        ("peers.enabled = true\npeers.listen = 127.0.0.1:7000\n", "peers.key"),
        (PEERS + "peers.key.b = 11\n", "peers.sign"),
        (PEERS + "peers.sign = c\n", "peers.sign"),
        (PEERS + "peers.seeds = somewhere:80\n", "peers.seeds"),
        ("peers.listen = 0.0.0.0:7000\n", "peers.listen"),
        ("peers.warm_ms = 1000\n", "peers.warm_ms"),
        ("peers.what = 1\n", "peers.what"),
        ("snapshot.enabled = true\n", "snapshot.file"),
        ("snapshot.every_s = 0\n", "snapshot.every_s"),
    ],
)
def test_invalid_setting_is_named(text, names):
    with pytest.raises(ConfigError, match=names.replace(".", r"\.")):
        parse_operator_settings("f", text)


def test_peer_keys_rotate_and_are_not_printed():
    found = parse_operator_settings("f", PEERS + "peers.key.b = 11\npeers.sign = b\n").peers
    assert found is not None and found.sign == "b" and set(found.keys) == {"a", "b"}
    assert "\\xff" not in repr(found)


def test_disabled_features_are_not_imported():
    check = (
        "import sys, brackenusher.cli, brackenusher.daemon\n"
        "news = ('msgspec', 'sqlite3', 'barleybarrow.knowledge', 'barleybarrow.replica', "
        "'brackenusher.group', *('brackenusher.membership.' + m for m in "
        "('peers', 'swim', 'keeper', 'frames', 'seal', 'snapshot', 'show')))\n"
        "new = [m for m in sys.modules if m.startswith(news)]\n"
        "sys.exit(str(new) if new else 0)"
    )
    assert subprocess.run([sys.executable, "-c", check], cwd=ROOT, check=False).returncode == 0


def test_wire_fields_match_the_fields_of_evidence():
    # guards against a field added to only one of the two, which would shift the fields after it
    of_piece = list(Piece.__struct_fields__)
    of_evidence = list(Evidence.__dataclass_fields__)
    assert [f if f != "age" else "at" for f in of_piece] == of_evidence
    assert all(a == b for a, b in itertools.zip_longest(frames.AFTER_SERIAL, of_piece[6:]))
