"""Questions about the status of a process, asked over links for the operator's command line.

Any process answers with `StatusResponder`; a control process asks with `StatusCaller`. Answers are JSON.
"""

import asyncio
import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_number

log = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 1024 * 1024  # an operator reads it; more would hold up the link


class StatusResponder:
    """Answers each question with what a function says; None: nothing is known, which is answered too."""

    def __init__(self, links: Links, tell: Callable[[str], object | None]) -> None:
        self._links = links
        self._tell = tell
        links.on_message(messages.StatusRequest, self._answer)

    def _answer(self, sender: str, request: betterproto.Message) -> None:
        assert isinstance(request, messages.StatusRequest)
        document = self._tell(request.topic)
        data = b"" if document is None else json.dumps(document, separators=(",", ":")).encode()
        if len(data) > MAX_ANSWER_BYTES:
            log.warning("status answer too large: topic=%s bytes=%d", request.topic, len(data))
            data = b""
        self._links.send(sender, messages.StatusReply(id=request.id, document=data))


@dataclass(slots=True)
class _Question:
    """One question to several processes."""

    waiting: set[str]
    done: "asyncio.Future[None]"
    answers: dict[str, object] = field(default_factory=dict)


class StatusCaller:
    """Asks processes that this one has links to."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._questions: dict[int, _Question] = {}
        self._last_id = first_number(links.own)
        links.on_message(messages.StatusReply, self._take_reply)
        links.on_change(self._link_changed)

    async def ask(self, addresses: Iterable[str], topic: str, timeout_s: float) -> dict[str, object]:
        """What those say who answer in time and know something, by their address."""
        self._last_id += 1
        request = messages.StatusRequest(id=self._last_id, topic=topic)
        waiting = {address for address in addresses if self._links.send(address, request)}
        if not waiting:
            return {}
        question = _Question(waiting, asyncio.get_running_loop().create_future())
        self._questions[request.id] = question
        try:
            await asyncio.wait_for(question.done, timeout_s)
        except TimeoutError:
            pass  # who is slow or cut off is left out
        finally:
            del self._questions[request.id]
        return question.answers

    def _take_reply(self, sender: str, reply: betterproto.Message) -> None:
        assert isinstance(reply, messages.StatusReply)
        question = self._questions.get(reply.id)
        if question is None or sender not in question.waiting:
            return
        if reply.document:
            try:
                question.answers[sender] = json.loads(reply.document)
            except ValueError:
                log.warning("status answer unreadable: peer=%s", sender)
        self._no_longer_waits(question, sender)

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        if hello is None:
            for question in self._questions.values():
                self._no_longer_waits(question, address)

    def _no_longer_waits(self, question: _Question, address: str) -> None:
        question.waiting.discard(address)
        if not question.waiting and not question.done.done():
            question.done.set_result(None)
