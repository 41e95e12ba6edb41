"""The progress of one incarnation of a dispatcher, no part of which ever decreases. Decision logic."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.distribution.change_status import ChangeKind
from hoistplank.distribution.messages import Acknowledgement, Refusal
from hoistplank.distribution.versions import NOTHING, Version


class _AcknowledgedVersions(NamedTuple):
    """The versions in an acknowledgement, each of which only ever increases."""

    events: Version
    configuration: Version
    decided: Version  # the newest configuration that was applied or refused

    @classmethod
    def of(cls, acknowledgement: Acknowledgement) -> _AcknowledgedVersions:
        configuration = acknowledgement.configuration.to_version()
        refusal = acknowledgement.refusal
        refused = refusal.version.to_version() if refusal is not None else NOTHING
        return cls(acknowledgement.version.to_version(), configuration, max(configuration, refused))

    def is_behind(self, other: _AcknowledgedVersions) -> bool:
        return any(mine < theirs for mine, theirs in zip(self, other, strict=True))


class DispatcherProgress:
    """The newest acknowledgement of one incarnation of a dispatcher."""

    __slots__ = ("_versions", "acknowledgement")

    def __init__(self, acknowledgement: Acknowledgement) -> None:
        self.acknowledgement = acknowledgement
        self._versions = _AcknowledgedVersions.of(acknowledgement)

    def advance(self, acknowledgement: Acknowledgement) -> bool:
        """Stores a newer acknowledgement; returns False, changing nothing, if any version in it decreased."""
        versions = _AcknowledgedVersions.of(acknowledgement)
        if versions.is_behind(self._versions):
            return False
        self.acknowledgement = acknowledgement
        self._versions = versions
        return True

    def held(self, kind: ChangeKind) -> Version:
        """Returns the version in force: of all events, or of the configuration."""
        return self._versions.configuration if kind is ChangeKind.CONFIGURATION else self._versions.events

    def refusal_of(self, version: Version) -> Refusal | None:
        """Returns the refusal of the configuration of this version, if it is the one last refused."""
        refusal = self.acknowledgement.refusal
        return refusal if refusal is not None and refusal.version.to_version() == version else None
