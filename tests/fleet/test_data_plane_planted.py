"""Bugs injected into the data plane: simulations must detect mixed responses and repeated executions."""

import asyncio
import random
from typing import Any
from unittest import mock

from brackenusher.data_plane.headers import Header
from brackenusher.data_plane.upstream_connection import UpstreamConnection
from tests.fleet.data_plane_support import ReceivedRequest, response
from tests.fleet.test_data_plane_histories import FaultyServer, RandomHistories

SEEDS = (1, 2, 3, 4)  # of 250 requests each


class DuplicatingServer(FaultyServer):
    """Also sends some responses a second time, where the next one is due."""

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        before = getattr(writer, "owed", b"")
        if before:
            writer.write(before)
        writer.owed = b""  # type: ignore[attr-defined]
        if self.rng.random() < 0.2 and request.line.split("/")[1] in ("safe", "unsafe"):
            request_id = request.headers["x-brackenusher-request-id"].encode()
            writer.owed = response(request, request_id)  # type: ignore[attr-defined]
        await super().__call__(request, writer)


class InjectedBugs(RandomHistories):
    """Each bug has to be detected within `SEEDS`; without a bug the same simulations pass."""

    async def test_histories_keep_the_guarantees(self) -> None:
        """Runs in the base class's module."""

    async def check_simulations(self) -> None:
        with mock.patch("tests.fleet.test_data_plane_histories.FaultyServer", DuplicatingServer):
            for seed in SEEDS:
                replies, runs = await self._run_simulation(seed)
                ran = [request_id for request_id, _ in runs]
                for name, reply in replies.items():
                    path, _, request_id = name.partition("/")
                    self._check_response(path, request_id, reply, ran.count(request_id))

    async def assert_found(self, owner: type, name: str, bug: Any) -> None:
        random.seed(1)
        with mock.patch.object(owner, name, bug):
            # a request without any response: it is held, or its connection ends
            with self.assertRaises((AssertionError, TimeoutError, asyncio.IncompleteReadError)):
                await self.check_simulations()

    async def test_simulations_pass_without_a_bug(self) -> None:
        await self.check_simulations()

    async def test_finds_close_without_response_taken_for_not_sent(self) -> None:
        def broken(self: UpstreamConnection, reason: str) -> None:
            receiver, self._receiver = self._receiver, None
            self.close()
            if receiver is not None:
                receiver.request_not_written(reason)

        await self.assert_found(UpstreamConnection, "_fail", broken)

    async def test_finds_unchecked_response_id(self) -> None:
        def handle_head(self: UpstreamConnection, response: Any) -> None:
            assert self._receiver is not None
            headers: list[Header] = list(response.headers)
            self._receiver.response_head(response.status_code, headers)

        await self.assert_found(UpstreamConnection, "_handle_head", handle_head)

    async def test_finds_truncated_response_taken_for_complete(self) -> None:
        def broken(self: UpstreamConnection, reason: str) -> None:
            receiver, self._receiver = self._receiver, None
            self.close()
            if receiver is not None:
                receiver.response_end()

        await self.assert_found(UpstreamConnection, "_fail", broken)
