"""Common to both roles: loads the settings, runs the event loop, shuts down on SIGTERM or SIGINT."""

import asyncio
import logging
import os
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

from returns.result import Failure, Success

from barleybarrow.limits.bounds import LimitBounds
from brackenusher.cluster import messages
from brackenusher.runtime.fleet_log import configure_logging
from brackenusher.settings.local import LocalSettings
from brackenusher.settings.reading import EXIT_BAD_SETTINGS, SETTINGS_ENV_VAR, load_settings

log = logging.getLogger(__name__)


class RoleProcess(Protocol):
    """A process of either role."""

    async def start(self) -> None:
        """Opens the listeners and starts all services. Raises OSError if an address can't be bound."""

    async def stop(self) -> None:
        """Shuts down in order; returns when everything has stopped."""

    def reload(self, settings: LocalSettings) -> None:
        """Applies a changed settings file (on SIGHUP)."""


def settings_from_environment() -> LocalSettings | None:
    """Loads the settings of this process; on an error prints one line to standard error and returns None."""
    path = os.environ.get(SETTINGS_ENV_VAR, "")
    if not path:
        print(f"brackenusher: {SETTINGS_ENV_VAR} is not set: name the settings file", file=sys.stderr)
        return None
    match load_settings(path):
        case Success(settings):
            return settings
        case Failure(error):
            print(f"brackenusher: {error}", file=sys.stderr)
    return None


def own_hello(settings: LocalSettings, role: str, port: int, rng: random.Random) -> messages.Hello:
    """Returns the Hello that this process sends to its peers, with a new random incarnation."""
    return messages.Hello(
        address=f"{settings.ip}:{port}",
        role=role,
        node_name=settings.node_name,
        zone=settings.zone,
        incarnation=rng.getrandbits(53),
        counts_for_quorum=settings.counts_for_quorum,
        has_disk=bool(settings.data_dir),
        control_address=settings.listen.control,
    )


def limit_bounds(settings: LocalSettings) -> LimitBounds:
    """Returns the bounds of quotas and retries from the settings."""
    bounds = settings.bounds
    return LimitBounds(
        quota_window_s=bounds.quota_window_s,
        quota_overshoot=bounds.quota_overshoot,
        quota_slack=bounds.quota_slack,
        retry_budget_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_budget_min=bounds.retry_budget_min,
    )


async def _serve(create: Callable[[LocalSettings], Awaitable[RoleProcess]], settings: LocalSettings) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    process = await create(settings)

    def reload() -> None:
        new_settings = settings_from_environment()
        if new_settings is not None:
            process.reload(new_settings)

    loop.add_signal_handler(signal.SIGHUP, reload)
    await process.start()
    await stop_requested.wait()
    log.info("event=ending role=%s", settings.role)
    await process.stop()


def run(create: Callable[[LocalSettings], Awaitable[RoleProcess]]) -> int:
    """Runs a role until it is stopped by a signal. Returns the exit code."""
    settings = settings_from_environment()
    if settings is None:
        return EXIT_BAD_SETTINGS
    configure_logging(settings.role, settings.log_level)
    log.info("event=starting role=%s node=%s", settings.role, settings.node_name)
    try:
        asyncio.run(_serve(create, settings))
    except OSError as error:
        print(f"brackenusher: {error}: is another process at that address?", file=sys.stderr)
        return 1
    return 0
