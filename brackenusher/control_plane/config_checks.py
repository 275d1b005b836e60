"""Checks documents and parses the committed one, on a thread.

A check of a large document takes some 10 ms of CPU time, so it must not run on the event loop.
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

MAX_CACHED_CONFIGURATIONS = 4  # checked and not yet committed

Check = Callable[[Document], "Result[Configuration, Exception]"]
CheckResult = tuple[Configuration | None, str]  # the parsed document, or the error


class ConfigChecker:
    """Checks orders before they are proposed, and parses committed documents."""

    def __init__(
        self, check: Check, worker: StorageWriter, on_in_force: Callable[[Configuration], None]
    ) -> None:
        self._check, self._worker, self._on_in_force = check, worker, on_in_force
        self._checked_configurations: dict[bytes, Configuration] = {}  # by the digest of the order
        self._parsing = False
        self._closed = False
        self.configuration: Configuration | None = None

    def check_order(self, digest: bytes, document: Document, callback: Callable[[bytes, str], None]) -> None:
        """Check the document an order results in, then call back with its digest and error (empty: valid)."""
        future = self._worker.submit(lambda: self._run_check(document))

        def on_done(done: "asyncio.Future[CheckResult]") -> None:
            configuration, error = done.result()
            if self._closed:
                return
            if configuration is not None:
                self._cache(digest, configuration)
            callback(digest, error)

        future.add_done_callback(on_done)

    def on_applied(self, state: ConfigurationState) -> None:
        """Put the state's newest document in force; parses one document at a time."""
        if self._parsing or self._closed or state.document is None:
            return
        if self.configuration is not None and self.configuration.generation >= state.version:
            return
        checked = self._checked_configurations.get(next(reversed(state.accepted)))
        if checked is not None:
            self._put_in_force(checked)
            return
        self._parsing = True
        document = state.document
        future = self._worker.submit(lambda: self._run_check(document))

        def on_done(done: "asyncio.Future[CheckResult]") -> None:
            configuration, error = done.result()
            self._parsing = False
            if configuration is None:
                log.error("the committed configuration is not valid here: %s", error)
                return
            self._put_in_force(configuration)
            self.on_applied(state)

        future.add_done_callback(on_done)

    def close(self) -> None:
        """Make no more callbacks and stop the thread."""
        self._closed = True
        self._worker.close()

    def _put_in_force(self, configuration: Configuration) -> None:
        if not self._closed:
            self.configuration = configuration
            self._on_in_force(configuration)

    def _cache(self, digest: bytes, configuration: Configuration) -> None:
        self._checked_configurations[digest] = configuration
        while len(self._checked_configurations) > MAX_CACHED_CONFIGURATIONS:
            del self._checked_configurations[next(iter(self._checked_configurations))]

    def _run_check(self, document: Document) -> CheckResult:
        try:
            result = self._check(document)
            configuration = result.value_or(None)
            return configuration, "" if configuration is not None else str(result.failure())
        except Exception as error:  # an error in a check must refuse the order, not end the process
            log.exception("check of a configuration failed")
            return None, f"the configuration can't be checked: {error}"
