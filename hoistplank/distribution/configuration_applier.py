"""Applies distributed configurations one after another: only the newest, as a whole or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, TypeAlias

import structlog

from hoistplank.distribution.errors import ConfigurationRefusedError
from hoistplank.distribution.versions import Version

log = structlog.get_logger()

ApplyConfiguration: TypeAlias = Callable[[], None]


class PrepareConfiguration(Protocol):
    """Parses and checks a configuration's text; calling the result applies it at once.

    Raises ConfigurationRefusedError. Nothing has changed until the result is called.
    """

    def __call__(self, version: Version, text: str, /) -> Awaitable[ApplyConfiguration]:
        """Returns the call that applies the configuration."""


class ConfigurationListener(Protocol):
    """Is notified of the decision on each configuration."""

    def configuration_applied(self, version: Version) -> None:
        """Called after the configuration was applied."""

    def configuration_refused(self, version: Version, reason: str) -> None:
        """Called if the configuration can't be used; the one in force stays."""


class PendingConfiguration(NamedTuple):
    """A received configuration that is not decided yet."""

    version: Version
    text: str


class ConfigurationApplier:
    """Waits for configurations and decides on each, skipping those superseded in the meantime."""

    def __init__(self, prepare: PrepareConfiguration, listener: ConfigurationListener) -> None:
        self.prepare = prepare
        self.listener = listener
        self._newest: PendingConfiguration | None = None
        self._is_available = asyncio.Event()

    def submit(self, version: Version, text: str) -> None:
        """Submits a configuration that is newer than all earlier ones."""
        self._newest = PendingConfiguration(version, text)
        self._is_available.set()

    async def run(self) -> None:
        """Runs until cancelled; cancelling never leaves a configuration partly applied."""
        while True:
            await self._is_available.wait()
            self._is_available.clear()
            pending, self._newest = self._newest, None
            if pending is not None:
                await self._decide(pending)

    async def _decide(self, pending: PendingConfiguration) -> None:
        try:
            apply = await self.prepare(pending.version, pending.text)
        except ConfigurationRefusedError as error:
            self._refuse(pending.version, str(error))
            return
        except Exception as error:
            # An exception in a section's check must not end this task, and with it all later configurations.
            log.exception("configuration check failed", version=str(pending.version))
            self._refuse(pending.version, f"{type(error).__name__}: {error}")
            return
        if self._newest is not None:
            return  # a newer one has arrived: applied now, this one would be in force for a moment
        apply()
        log.info("configuration applied", version=str(pending.version), bytes=len(pending.text))
        self.listener.configuration_applied(pending.version)

    def _refuse(self, version: Version, reason: str) -> None:
        log.error("configuration can't be used, the running one stays", version=str(version), wrong=reason)
        self.listener.configuration_refused(version, reason)


async def accept_any_configuration(version: Version, text: str) -> ApplyConfiguration:  # noqa: ARG001 protocol
    """Accepts each text and changes nothing: for a follower that has nothing to configure."""
    return _do_nothing


def _do_nothing() -> None:
    pass
