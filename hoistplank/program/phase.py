"""The phases of a dispatcher process."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """The current phase of the process; the values appear in the log."""

    STARTING = "starting"  # the configuration is read, the endpoint list is not known yet
    PROVISIONAL = (
        "provisional"  # serving from a persisted list, some hosts of which answered probes: health says 200
    )
    SERVING = "serving"  # the endpoint list is known: health says 200
    DRAINING = "draining"  # after SIGTERM, still accepting and answering: health says 503
    STOPPED = "stopped"  # nothing is open or accepted any more

    @property
    def is_ready(self) -> bool:
        """True if the health check reports this dispatcher as ready for requests."""
        return self in (Phase.PROVISIONAL, Phase.SERVING)
