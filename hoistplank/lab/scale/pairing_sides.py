"""What the dispatchers of a pairing follow: the change log, or one control replica through relays."""

from __future__ import annotations

from hoistplank.lab.fleet.relay_pool import RelayPool
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.lab.scale.hollow_messages import (
    DoorUsage,
)
from hoistplank.lab.scale.real_dispatcher import LIFETIME_S
from hoistplank.lab.scale.run_children import LogChild
from hoistplank.lab.scale.run_paths import ReplicaPaths
from hoistplank.lab.scale.run_replicas import Replicas

KINDS = ("real", "alone", "shared")  # and a door of the log for each


class LogSide:
    """All kinds follow the change log, each through a door of its own."""

    def __init__(self, log: LogChild) -> None:
        self.log = log

    async def open(self) -> dict[str, int]:
        """The port for each kind of dispatcher."""
        return await self.log.doors(list(KINDS))

    async def taken(self) -> dict[str, DoorUsage]:
        """What each kind has sent and received so far."""
        return (await self.log.usage()).doors

    async def close(self) -> None:
        """Nothing is held beside the log."""


class ReplicaSide:
    """All kinds follow one control replica, each through a relay of its own."""

    def __init__(self, log: LogChild, fleet: Fleet) -> None:
        self.log, self.fleet = log, fleet
        self.replicas = Replicas(fleet)
        self.relays = {kind: RelayPool() for kind in KINDS}

    async def open(self) -> dict[str, int]:
        """Raises ReplicaLostError and RelayError."""
        paths = ReplicaPaths(self.fleet)
        paths.log_ports = list((await self.log.doors(paths.doors())).values())
        await self.replicas.start(paths, LIFETIME_S)
        ports = {}
        for kind, relays in self.relays.items():
            await relays.start(1, 1)
            ports[kind] = await relays.open_stream_path(f"{kind}>c0", self.replicas.ports[0], 0)
        return ports

    async def taken(self) -> dict[str, DoorUsage]:
        """Both directions together; pieces as they went through, in place of lines."""
        found = {}
        for kind, relays in self.relays.items():
            carried = await relays.statistics()
            found[kind] = DoorUsage(bytes_out=carried.bytes, lines_out=carried.chunks)
        return found

    async def close(self) -> None:
        """End the replica and the relays."""
        await self.replicas.stop()
        for relays in self.relays.values():
            await relays.stop()
