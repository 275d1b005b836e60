"""The replicated configuration state and its on-disk format."""

import json
import unittest
from random import Random
from typing import Any
from unittest import mock

from msgspec import msgpack

from barleybarrow.agreement import RaftNode
from barleybarrow.agreement_messages import Entry, Ready, Snapshot
from barleybarrow.consensus import configuration_state
from barleybarrow.consensus.configuration_state import (
    ConfigurationState,
    OrderError,
    OrderOutcome,
    apply_patch,
    make_order,
    order_digest,
    read_body,
)
from barleybarrow.consensus.durable_state import (
    DurableStateError,
    StoredRecord,
    decode_state,
    encode_image,
    encode_record,
)


def apply_order(state: ConfigurationState, kind: str, base: int, content: Any) -> OrderOutcome:
    """Apply an order to a state."""
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return state.apply(make_order(kind, base, body, 1))


def apply_replacement(state: ConfigurationState, base: int, generation: int, **more: Any) -> int:
    """Apply a replacement to a state and return the status."""
    return apply_order(state, "replace", base, {"Generation": generation, **more}).status


class VersionChecksTest(unittest.TestCase):
    def test_the_base_must_be_the_current_version(self) -> None:
        state = ConfigurationState()
        self.assertEqual(apply_replacement(state, 1, 5), 412)
        self.assertEqual(apply_replacement(state, 0, 5), 200)
        for base in (0, 4, 6, 2**60):
            self.assertEqual(apply_replacement(state, base, 9), 412)
        self.assertEqual(apply_replacement(state, 5, 9), 200)
        self.assertEqual(state.version, 9)

    def test_the_new_version_must_be_above_the_current(self) -> None:
        state = ConfigurationState()
        apply_replacement(state, 0, 5)
        for generation in (5, 4, 0, -1):
            self.assertEqual(apply_replacement(state, 5, generation), 400)
        for malformed in (True, 7.0, "7", None, [7], 2**53):
            self.assertEqual(apply_order(state, "replace", 5, {"Generation": malformed}).status, 400)
        self.assertEqual(apply_order(state, "replace", 5, {}).status, 400)
        self.assertEqual(state.version, 5)

    def test_malformed_orders_change_nothing(self) -> None:
        state = ConfigurationState()
        for body in (b"", b"{", b"[1]", b"7", b"\xff\xfe", b'{"Generation": 3', b"[" * 100_000):
            self.assertEqual(apply_order(state, "replace", 0, body).status, 400)
        self.assertEqual(apply_order(state, "other", 0, {"Generation": 3}).status, 400)
        self.assertEqual((state.version, state.document), (0, None))


class RepeatedOrdersTest(unittest.TestCase):
    def test_a_repeated_accepted_order_is_acknowledged(self) -> None:
        state = ConfigurationState()
        for base, generation in ((0, 2), (2, 4), (4, 9)):
            self.assertEqual(apply_replacement(state, base, generation), 200)
        for base, generation in ((0, 2), (2, 4), (4, 9)):
            self.assertEqual(apply_replacement(state, base, generation), 200)
        self.assertEqual(state.version, 9)
        self.assertEqual([order.version for order in state.accepted_orders()], [2, 4, 9])

    def test_a_different_order_with_the_same_versions_is_refused(self) -> None:
        state = ConfigurationState()
        apply_replacement(state, 0, 2, Routes=[])
        self.assertEqual(apply_replacement(state, 0, 2, Routes=[{"Name": "a"}]), 412)
        self.assertEqual(apply_order(state, "patch", 0, {"Generation": 2, "Routes": []}).status, 412)

    def test_digests_differ_by_kind_base_and_body(self) -> None:
        orders = [("replace", 1, b"2"), ("patch", 1, b"2"), ("replace", 12, b""), ("replace", 1, b"\n2")]
        self.assertEqual(len({order_digest(*order) for order in orders}), 4)

    def test_the_history_of_accepted_orders_is_bounded(self) -> None:
        state, limit = ConfigurationState(), configuration_state.MAX_ACCEPTED_ORDERS
        for version in range(limit + 10):
            apply_replacement(state, version, version + 1)
        self.assertEqual(len(state.accepted), limit)
        self.assertEqual(apply_replacement(state, 10, 11), 200)
        self.assertEqual(apply_replacement(state, 9, 10), 503, "it was accepted, so it is never refused")
        self.assertEqual(
            apply_replacement(state, 9, 10, Routes=[{"Name": "a"}]), 503, "it may have been accepted"
        )
        self.assertEqual(
            apply_replacement(state, 10, 11, Routes=[{"Name": "a"}]), 412, "it was certainly not accepted"
        )

    def test_snapshots_keep_the_version_of_the_newest_evicted_order(self) -> None:
        state, other = ConfigurationState(), ConfigurationState()
        with mock.patch.object(configuration_state, "MAX_ACCEPTED_ORDERS", 2):
            for version in range(4):
                apply_replacement(state, version, version + 1)
        other.restore(state.snapshot())
        self.assertEqual(apply_replacement(other, 1, 2), 503)
        self.assertEqual(apply_replacement(other, 2, 3), 200)

    def test_a_snapshot_holds_the_whole_state(self) -> None:
        state, other = ConfigurationState(), ConfigurationState()
        apply_replacement(state, 0, 2, Routes=[{"Name": "a", "Weight": 1.5, "Umlaut": "\u00e4"}])
        apply_replacement(state, 2, 4, Routes=[])
        other.restore(state.snapshot())
        self.assertEqual((other.version, other.document), (state.version, state.document))
        self.assertEqual(other.accepted_orders(), state.accepted_orders())
        self.assertEqual(
            apply_replacement(other, 0, 2, Routes=[{"Name": "a", "Weight": 1.5, "Umlaut": "\u00e4"}]), 200
        )
        other.restore(b"")
        self.assertEqual((other.version, other.document, other.accepted), (0, None, {}))

    def test_replaying_and_restoring_from_snapshots_give_the_same_state(self) -> None:
        rng = Random(1)
        whole, restored = ConfigurationState(), ConfigurationState()
        for step in range(300):
            kind = rng.choice(["replace", "patch"])
            names = rng.sample("abcdef", 2)
            content: dict[str, Any] = {"Generation": step + rng.randint(-1, 2)}
            if kind == "patch":
                content |= {
                    "Upsert": {"Routes": [{"Name": names[0], "At": step}]},
                    "Remove": {"Routes": names[1:]},
                }
            order = make_order(kind, rng.choice([whole.version, step]), json.dumps(content).encode(), step)
            self.assertEqual(whole.apply(order), restored.apply(order))
            if rng.random() < 0.2:
                fresh = ConfigurationState()
                fresh.restore(restored.snapshot())
                restored = fresh
        self.assertEqual(whole.snapshot(), restored.snapshot())
        self.assertGreater(whole.version, 50)


class PatchTest(unittest.TestCase):
    document = {
        "Generation": 5,
        "Routes": [{"Name": "a", "X": 1}, {"Name": "b"}, {"Name": "c"}],
        "Services": [{"Name": "s"}],
        "Limits": {"MaxBodyBytes": 1},
        "Extra": [1],
    }

    def test_items_are_added_replaced_and_removed_by_name(self) -> None:
        patch = {
            "Generation": 7,
            "Upsert": {"Routes": [{"Name": "d"}, {"Name": "a", "Y": 2}], "Tenants": [{"Name": "t"}]},
            "Remove": {"Routes": ["b", "absent"]},
        }
        patched = apply_patch(self.document, patch)
        self.assertEqual(patched["Routes"], [{"Name": "a", "Y": 2}, {"Name": "c"}, {"Name": "d"}])
        self.assertEqual(patched["Tenants"], [{"Name": "t"}])
        self.assertEqual(
            (patched["Generation"], patched["Extra"], patched["Limits"]), (7, [1], {"MaxBodyBytes": 1})
        )
        self.assertEqual(self.document["Routes"], [{"Name": "a", "X": 1}, {"Name": "b"}, {"Name": "c"}])

    def test_malformed_patches_are_refused(self) -> None:
        malformed: list[dict[str, Any]] = [
            {"Generation": 7, "Upsert": []},
            {"Generation": 7, "Remove": "a"},
            {"Generation": 7, "Upsert": {"Limits": [{"Name": "x"}]}},
            {"Generation": 7, "Upsert": {"Routes": {"Name": "x"}}},
            {"Generation": 7, "Upsert": {"Routes": [{"X": 1}]}},
            {"Generation": 7, "Upsert": {"Routes": ["a"]}},
            {"Generation": 7, "Remove": {"Routes": [1]}},
            {"Upsert": {}},
        ]
        for patch in malformed:
            with self.subTest(patch=patch), self.assertRaises(OrderError):
                apply_patch(self.document, patch)

    def test_a_patch_without_a_document_is_refused(self) -> None:
        self.assertEqual(apply_order(ConfigurationState(), "patch", 0, {"Generation": 3}).status, 412)


class OrderSizeTest(unittest.TestCase):
    def test_a_body_that_decompresses_beyond_the_limit_is_refused(self) -> None:
        order = make_order("replace", 0, b"[" + b" " * configuration_state.MAX_BODY_BYTES + b"]", 1)
        self.assertLess(len(order.body), 100_000)
        with self.assertRaises(OrderError):
            read_body(order)

    def test_a_large_configuration_is_compressed_in_the_log(self) -> None:
        routes = [{"Name": f"route-{i}", "PathPrefix": f"/p{i}/", "TimeoutMs": 15000} for i in range(430)]
        body = json.dumps({"Generation": 3, "Routes": routes}).encode()
        self.assertLess(len(make_order("replace", 0, body, 1).body), len(body) / 3)


class DurableStateTest(unittest.TestCase):
    def raft_node(self) -> RaftNode:
        raft = RaftNode("a", ["a", "b"], Random(1), 0.0, term=3, vote="b")
        raft.entries = [Entry(1, 1, b"one"), Entry(2, 1, b"two")]
        return raft

    def test_an_image_and_records_are_read_back(self) -> None:
        raft = self.raft_node()
        image = encode_image(raft)
        records = [
            encode_record(raft, Ready(hard_state=(4, ""))),
            encode_record(raft, Ready(hard_state=(5, "a"), first_index=3, entries=[Entry(5, 1, b"three")])),
            encode_record(raft, Ready(hard_state=(6, "b"), first_index=2, entries=[Entry(6, 1, b"other")])),
        ]
        state = decode_state(image, records)
        self.assertEqual((state.term, state.vote, state.quarantined), (6, "b", False))
        self.assertEqual(state.snapshot, Snapshot(0, 0, ["a", "b"], b""))
        self.assertEqual([entry.data for entry in state.entries], [b"one", b"other"])

    def test_a_gap_in_the_log_is_an_error(self) -> None:
        record = msgpack.encode(StoredRecord(3, "", 9, [Entry(3, 1, b"")]))
        with self.assertRaises(DurableStateError):
            decode_state(encode_image(self.raft_node()), [record])

    def test_bytes_in_another_format_are_an_error(self) -> None:
        for image in (b"", b"\x00", b"\x96\x02\x00\xa0\xc2\x90\x90", b"text"):
            with self.assertRaises(DurableStateError):
                decode_state(image, [])
        with self.assertRaises(DurableStateError):
            decode_state(encode_image(self.raft_node()), [b"\xc1"])
