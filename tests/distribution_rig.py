"""A change log, control replicas and dispatchers' followers on loopback, in one event loop."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec

from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.configuration_applier import ApplyConfiguration
from hoistplank.distribution.errors import ConfigurationRefusedError
from hoistplank.distribution.follower import FollowerSettings, ReplicaFollower
from hoistplank.distribution.messages import RequestLine, StatusRequest, VersionFields, encode
from hoistplank.distribution.replica import ControlReplica, ReplicaSettings
from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.versions import Version
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import serve
from hoistplank.protocol.changelog import Snapshot
from hoistplank.routing.clock import Clock
from hoistplank.routing.events import Checkpoint, EndpointsUpdated, PurgeReceived

HORIZON_US = 60_000_000
EPOCH = 7


class TakingOwner:
    """Stands for a dispatcher's owner: a turn each loop iteration, and it keeps what it was told."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.events: list[Any] = []
        self.is_halted = False  # no turn is made: nothing that is told counts as applied

    def submit(self, event: Any) -> None:
        self.events.append(event)
        if isinstance(event, Checkpoint) and not self.is_halted:
            asyncio.get_running_loop().call_soon(event.callback)

    def turn(self) -> None:
        """Makes up for the turns that were not made."""
        self.is_halted = False
        for event in self.events:
            if isinstance(event, Checkpoint):
                event.callback()

    @property
    def purges(self) -> list[str]:
        return [event.object_key for event in self.events if isinstance(event, PurgeReceived)]

    @property
    def hosts(self) -> dict[str, str]:
        """State by uid, as the lists told so far make it."""
        found: dict[str, str] = {}
        for event in self.events:
            if isinstance(event, EndpointsUpdated):
                if event.form != "changes":
                    found.clear()
                for row in event.targets:
                    found[row.uid] = row.state
        return {uid: state for uid, state in found.items() if state != "gone"}

    @property
    def is_blind(self) -> bool:
        """Whether the Router would ask for no copy past its fresh time."""
        forms = [event.form for event in self.events if isinstance(event, EndpointsUpdated)]
        return bool(forms) and forms[-1] == "own"


class Dispatcher:
    """One follower with its owner; it refuses each configuration that holds the text 'bad'."""

    def __init__(self, settings: FollowerSettings, known: Snapshot, seed: int = 1) -> None:
        self.owner = TakingOwner()
        self.configurations: list[tuple[Version, str]] = []
        self.refuses = "bad"
        self.follower = ReplicaFollower(
            self.owner, settings, known, Random(f"{settings.name} {seed}"), prepare=self._prepare
        )
        self.tasks = [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.follower.configurations.run()),
        ]

    async def _prepare(self, version: Version, text: str) -> ApplyConfiguration:
        if self.refuses in text:
            raise ConfigurationRefusedError(
                f"configuration {version}:1:1: the form 'bad', expected a good one"
            )
        return lambda: self.configurations.append((version, text))

    @property
    def in_force(self) -> Version:
        return self.follower.state.acknowledgement().version.to_version()

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Relay:
    """A path that can be cut: what it passes on it counts."""

    def __init__(self, far: ReplicaAddress) -> None:
        self.far = far
        self.address = far
        self.is_cut = False
        self.passed = 0  # bytes from the far end
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Relay:
        self.address = self.far._replace(address=("127.0.0.1", await serve(self._talk)))
        return self

    def cut(self) -> None:
        """Ends what stands, and lets nobody through until `join`."""
        self.is_cut = True
        for writer in self._writers:
            writer.close()

    def join(self) -> None:
        self.is_cut = False

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            return
        far_reader, far_writer = await asyncio.open_connection(*self.far.address)
        self._writers += [writer, far_writer]
        back = asyncio.create_task(self._pass_on(far_reader, writer, True))
        await self._pass_on(reader, far_writer, False)
        await back

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counts: bool
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.passed += len(data) * counts
                writer.write(data)
        except OSError:
            pass
        writer.close()


class Rig:
    """The whole of it; what is started here is ended here."""

    def __init__(self, replicas: int = 2, epoch: int = EPOCH) -> None:
        self.log = FakeChangeLog(epoch)
        self.log_port = 0
        self.wanted = replicas
        self.replicas: list[ControlReplica] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.dispatchers: list[Dispatcher] = []
        self.addresses: list[ReplicaAddress] = []

    async def __aenter__(self) -> Rig:
        self.log_port = await serve(self.log.serve_connection)
        for number in range(self.wanted):
            self.start_replica(f"c{number + 1}")
        self.connect_peers()
        return self

    def start_replica(
        self, name: str, port: int = 0, changelog: int | None = None, **more: Any
    ) -> ControlReplica:
        settings = ReplicaSettings(
            name=name,
            listen=("127.0.0.1", port),
            changelog=("127.0.0.1", changelog or self.log_port),
            purge_horizon_us=HORIZON_US,
            region="east",
            **more,
        )
        replica = ControlReplica(settings)
        self.replicas.append(replica)
        self.addresses = [known for known in self.addresses if known.name != name]
        self.addresses.append(ReplicaAddress(name, "east", replica.address))
        return replica

    def connect_peers(self) -> None:
        """Replicas get to know each other's ports, and run."""
        for replica in self.replicas[len(self.tasks) :]:
            replica.follow_peers(peer for peer in self.addresses if peer.name != replica.name)
            self.tasks.append(asyncio.create_task(replica.run()))

    async def stop_replica(self, index: int) -> None:
        self.tasks[index].cancel()
        await asyncio.gather(self.tasks[index], return_exceptions=True)

    def dispatcher(
        self,
        name: str,
        addresses: list[ReplicaAddress] | None = None,
        known: Snapshot | None = None,
        **more: Any,
    ) -> Dispatcher:
        """Starts one; `addresses` in place of all replicas."""
        settings = FollowerSettings(
            name=name,
            region="east",
            incarnation=more.pop("incarnation", 1),
            replicas=addresses or self.addresses,
            **more,
        )
        made = Dispatcher(settings, known or Snapshot())
        self.dispatchers.append(made)
        return made

    async def __aexit__(self, *_: object) -> None:
        for dispatcher in self.dispatchers:
            await dispatcher.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # What the log tells.

    def restart_log(self, epoch: int) -> None:
        """It begins anew with nothing, and ends the connections to it."""
        self.log.restart(epoch)

    def hosts(self, number: int, whole: bool = False, **states: str) -> None:
        rows = [endpoint_entry(uid, "box", 9, state) for uid, state in states.items()]
        self.log.publish(fleet_event(number, rows, whole=whole))

    def purge(self, number: int, object_key: str) -> None:
        self.log.publish({"seq": number, "invalidate": {"object": object_key, "time": 1.0}})


async def asked(address: tuple[str, int], version: Version | None = None) -> StatusResponse:
    """A replica's status, over its socket."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
    wanted = VersionFields(*version) if version is not None else None
    writer.write(encode(RequestLine(status=StatusRequest(wanted))))
    try:
        return msgspec.json.decode(await reader.readline(), type=StatusResponse)
    finally:
        writer.close()


def at(number: int) -> Version:
    return Version(EPOCH, number)
