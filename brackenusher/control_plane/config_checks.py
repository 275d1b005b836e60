"""Checks of documents, on a thread of their own, and the typed form of the document in force.

A check of a large document takes some 10 ms of a core, so it must never run on the event loop.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from barleybarrow.consensus.configuration_state import ConfigurationState, Document
from barleybarrow.documents import Configuration
from brackenusher.storage.writer import StorageWriter

if TYPE_CHECKING:
    from returns.result import Result

log = logging.getLogger(__name__)

MAX_CACHED = 4  # configurations that were checked and are not in force yet

Check = Callable[[Document], "Result[Configuration, Exception]"]
Checked = tuple[Configuration | None, str]  # what a document came to, or the error


class ConfigChecks:
    """Checks orders before they are proposed, and makes what was committed typed."""

    def __init__(
        self, check: Check, worker: StorageWriter, in_force: Callable[[Configuration], None]
    ) -> None:
        self._check, self._worker, self._in_force = check, worker, in_force
        self._checked: dict[bytes, Configuration] = {}  # by the digest of the order that made it
        self._typing = False
        self._closed = False
        self.configuration: Configuration | None = None

    def check_order(self, digest: bytes, document: Document, then: Callable[[bytes, str], None]) -> None:
        """Check what an order would make, then call with its digest and the error, empty if valid."""
        future = self._worker.submit(lambda: self._run(document))

        def finished(done: "asyncio.Future[Checked]") -> None:
            configuration, error = done.result()
            if self._closed:
                return
            if configuration is not None:
                self._remember(digest, configuration)
            then(digest, error)

        future.add_done_callback(finished)

    def applied(self, state: ConfigurationState) -> None:
        """The state has changed: put its document in force, one after the other, the newest next."""
        if self._typing or self._closed or state.document is None:
            return
        if self.configuration is not None and self.configuration.generation >= state.version:
            return
        checked = self._checked.get(next(reversed(state.accepted)))
        if checked is not None:
            self._put_in_force(checked)
            return
        self._typing = True
        document = state.document
        future = self._worker.submit(lambda: self._run(document))

        def finished(done: "asyncio.Future[Checked]") -> None:
            configuration, error = done.result()
            self._typing = False
            if configuration is None:
                log.error("the committed configuration is not valid here: %s", error)
                return
            self._put_in_force(configuration)
            self.applied(state)

        future.add_done_callback(finished)

    def close(self) -> None:
        """Call nobody back any more."""
        self._closed = True
        self._worker.close()

    def _put_in_force(self, configuration: Configuration) -> None:
        if not self._closed:
            self.configuration = configuration
            self._in_force(configuration)

    def _remember(self, digest: bytes, configuration: Configuration) -> None:
        self._checked[digest] = configuration
        while len(self._checked) > MAX_CACHED:
            del self._checked[next(iter(self._checked))]

    def _run(self, document: Document) -> Checked:
        try:
            result = self._check(document)
            configuration = result.value_or(None)
            return configuration, "" if configuration is not None else str(result.failure())
        except Exception as error:  # a check that fails must refuse, not end the process
            log.exception("check of a configuration failed")
            return None, f"the configuration can't be checked: {error}"
