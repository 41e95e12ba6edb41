"""Takes up distributed configurations one after another: the newest alone, whole or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import structlog

from hoistplank.distribution.versions import Version

log = structlog.get_logger()


class ConfigurationRefused(Exception):
    """A configuration can't be used; the text names key and place."""


TakeUp = Callable[[], None]


class Preparing(Protocol):
    """Reads and checks a configuration's text; the call that comes back takes it up at once.

    Raises ConfigurationRefused. Nothing has changed until that call.
    """

    def __call__(self, version: Version, text: str, /) -> Awaitable[TakeUp]: ...


class Deciding(Protocol):
    """Who is told how it went."""

    def configuration_taken(self, version: Version) -> None: ...

    def configuration_refused(self, version: Version, reason: str) -> None: ...


class Told(NamedTuple):
    version: Version
    text: str


class ConfigurationTaker:
    """Waits for configurations and decides on each; those superseded meanwhile are left out."""

    def __init__(self, prepare: Preparing, deciding: Deciding) -> None:
        self.prepare, self.deciding = prepare, deciding
        self._newest: Told | None = None
        self._came = asyncio.Event()

    def tell(self, version: Version, text: str) -> None:
        """A configuration newer than all before."""
        self._newest = Told(version, text)
        self._came.set()

    async def run(self) -> None:
        """Until it is cancelled, which leaves what is in force whole."""
        while True:
            await self._came.wait()
            self._came.clear()
            told, self._newest = self._newest, None
            if told is not None:
                await self._decide(told)

    async def _decide(self, told: Told) -> None:
        try:
            take_up = await self.prepare(told.version, told.text)
        except ConfigurationRefused as wrong:
            self._refused(told.version, str(wrong))
            return
        except Exception as wrong:
            # Danger: a fault in one form's check would end this task, and with it all later configurations.
            log.exception("configuration can't be checked", version=str(told.version))
            self._refused(told.version, f"{type(wrong).__name__}: {wrong}")
            return
        if self._newest is not None:
            return  # a newer one came meanwhile: taken up now, this one would be in force for a moment
        take_up()
        log.info("configuration taken up", version=str(told.version), bytes=len(told.text))
        self.deciding.configuration_taken(told.version)

    def _refused(self, version: Version, reason: str) -> None:
        log.error("configuration can't be used, the running one stays", version=str(version), wrong=reason)
        self.deciding.configuration_refused(version, reason)


async def without_configuration(version: Version, text: str) -> TakeUp:
    """For a follower that has nothing to configure: each text is good, and changes nothing."""
    return _nothing


def _nothing() -> None:
    pass
