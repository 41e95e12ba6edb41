"""The phases of a dispatcher's life."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """Where the program stands; the values are those of the log."""

    STARTING = "starting"  # configuration read, endpoint list not known yet
    PROVISIONAL = "provisional"  # on a persisted list, some hosts of which have answered: health says 200
    SERVING = "serving"  # the endpoint list is known: health says 200
    DRAINING = "draining"  # SIGTERM came: still accepting and answering, health says 503
    STOPPED = "stopped"  # nothing is open, nothing is accepted

    @property
    def is_ready(self) -> bool:
        """Whether a health check says that this dispatcher is to get requests."""
        return self in (Phase.PROVISIONAL, Phase.SERVING)
