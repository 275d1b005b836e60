"""Faults planted in the data plane that its random days must show: a wrong caller, or a call sent twice."""

import asyncio
import random
from typing import Any
from unittest import mock

from brackenusher.data_plane.headers import Header
from brackenusher.data_plane.upstream_connection import UpstreamConnection
from tests.fleet.data_plane_support import SeenRequest, answer
from tests.fleet.test_data_plane_histories import Histories, TroubledServer

SEEDS = (1, 2, 3, 4)  # 250 requests each


class LateServer(TroubledServer):
    """Beside all else, an answer may come a second time, where the next one is due."""

    async def __call__(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        before = getattr(writer, "owed", b"")
        if before:
            writer.write(before)
        writer.owed = b""  # type: ignore[attr-defined]
        if self.rng.random() < 0.2 and request.line.split("/")[1] in ("safe", "unsafe"):
            request_id = request.headers["x-brackenusher-request-id"].encode()
            writer.owed = answer(request, request_id)  # type: ignore[attr-defined]
        await super().__call__(request, writer)


class Planted(Histories):
    """Each fault has to be found within `SEEDS`; without one the same days keep the rules."""

    async def test_what_clients_and_servers_saw_keeps_the_rules(self) -> None:
        """Played elsewhere."""

    async def judge_days(self) -> None:
        with mock.patch("tests.fleet.test_data_plane_histories.TroubledServer", LateServer):
            for seed in SEEDS:
                replies, runs = await self._play(seed)
                ran = [request_id for request_id, _ in runs]
                for name, reply in replies.items():
                    path, _, request_id = name.partition("/")
                    self._judge(path, request_id, reply, ran.count(request_id))

    async def assert_found(self, owner: type, name: str, bug: Any) -> None:
        random.seed(1)
        with mock.patch.object(owner, name, bug):
            with self.assertRaises(
                (AssertionError, TimeoutError)
            ):  # the latter: a request without any answer
                await self.judge_days()

    async def test_the_days_themselves_keep_the_rules(self) -> None:
        await self.judge_days()

    async def test_a_close_without_an_answer_taken_for_proof(self) -> None:
        def broken(self: UpstreamConnection, reason: str) -> None:
            receiver, self._receiver = self._receiver, None
            self.close()
            if receiver is not None:
                receiver.request_not_written(reason)

        await self.assert_found(UpstreamConnection, "_fail", broken)

    async def test_an_answer_whose_id_is_not_compared(self) -> None:
        def handle_head(self: UpstreamConnection, response: Any) -> None:
            assert self._receiver is not None
            headers: list[Header] = list(response.headers)
            self._receiver.response_head(response.status_code, headers)

        await self.assert_found(UpstreamConnection, "_handle_head", handle_head)

    async def test_an_answer_that_ends_early_taken_for_whole(self) -> None:
        def broken(self: UpstreamConnection, reason: str) -> None:
            receiver, self._receiver = self._receiver, None
            self.close()
            if receiver is not None:
                receiver.response_end()

        await self.assert_found(UpstreamConnection, "_fail", broken)
