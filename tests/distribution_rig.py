"""Test rig: a change log, control replicas and dispatchers' followers on loopback, in one event loop."""

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


class RecordingReceiver:
    """Replaces a dispatcher's router task: runs a turn each loop iteration and records all events."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.events: list[Any] = []
        self.is_paused = False  # while True no turn runs: nothing received counts as applied

    def submit(self, event: Any) -> None:
        self.events.append(event)
        if isinstance(event, Checkpoint) and not self.is_paused:
            asyncio.get_running_loop().call_soon(event.callback)

    def run_pending_turns(self) -> None:
        """Resumes, and runs the turns that were held back."""
        self.is_paused = False
        for event in self.events:
            if isinstance(event, Checkpoint):
                event.callback()

    @property
    def purges(self) -> list[str]:
        return [event.object_key for event in self.events if isinstance(event, PurgeReceived)]

    @property
    def hosts(self) -> dict[str, str]:
        """The state of each host by uid, from the lists received so far."""
        states: dict[str, str] = {}
        for event in self.events:
            if isinstance(event, EndpointsUpdated):
                if event.form != "changes":
                    states.clear()
                for row in event.targets:
                    states[row.uid] = row.state
        return {uid: state for uid, state in states.items() if state != "gone"}

    @property
    def is_list_unconfirmed(self) -> bool:
        """True if the Router would request no copy past its fresh time."""
        forms = [event.form for event in self.events if isinstance(event, EndpointsUpdated)]
        return bool(forms) and forms[-1] == "own"


class Dispatcher:
    """A follower with its receiver; it refuses each configuration that contains the text `refuses`."""

    def __init__(self, settings: FollowerSettings, known: Snapshot, seed: int = 1) -> None:
        self.receiver = RecordingReceiver()
        self.configurations: list[tuple[Version, str]] = []
        self.refuses = "bad"
        self.follower = ReplicaFollower(
            self.receiver, settings, known, Random(f"{settings.name} {seed}"), prepare=self._prepare
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
    """A TCP relay that can be cut, and counts the bytes that it forwards from upstream."""

    def __init__(self, upstream: ReplicaAddress) -> None:
        self.upstream = upstream
        self.address = upstream
        self.is_cut = False
        self.forwarded_bytes = 0  # from upstream
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Relay:
        self.address = self.upstream._replace(address=("127.0.0.1", await serve(self._serve)))
        return self

    def cut(self) -> None:
        """Closes open connections, and rejects new ones until `restore`."""
        self.is_cut = True
        for writer in self._writers:
            writer.close()

    def restore(self) -> None:
        self.is_cut = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            return
        upstream_reader, upstream_writer = await asyncio.open_connection(*self.upstream.address)
        self._writers += [writer, upstream_writer]
        responses = asyncio.create_task(self._copy(upstream_reader, writer, True))
        await self._copy(reader, upstream_writer, False)
        await responses

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_counted: bool
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.forwarded_bytes += len(data) * is_counted
                writer.write(data)
        except OSError:
            pass
        writer.close()


class Rig:
    """Runs the change log, replicas and dispatchers, and stops all that it started."""

    def __init__(self, replicas: int = 2, epoch: int = EPOCH) -> None:
        self.log = FakeChangeLog(epoch)
        self.log_port = 0
        self.replica_count = replicas
        self.replicas: list[ControlReplica] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.dispatchers: list[Dispatcher] = []
        self.addresses: list[ReplicaAddress] = []

    async def __aenter__(self) -> Rig:
        self.log_port = await serve(self.log.serve_connection)
        for number in range(self.replica_count):
            self.start_replica(f"c{number + 1}")
        self.connect_peers()
        return self

    def start_replica(
        self, name: str, port: int = 0, changelog: int | None = None, **options: Any
    ) -> ControlReplica:
        settings = ReplicaSettings(
            name=name,
            listen=("127.0.0.1", port),
            changelog=("127.0.0.1", changelog or self.log_port),
            purge_horizon_us=HORIZON_US,
            region="east",
            **options,
        )
        replica = ControlReplica(settings)
        self.replicas.append(replica)
        self.addresses = [known for known in self.addresses if known.name != name]
        self.addresses.append(ReplicaAddress(name, "east", replica.address))
        return replica

    def connect_peers(self) -> None:
        """Tells the new replicas the addresses of their peers, and runs them."""
        for replica in self.replicas[len(self.tasks) :]:
            replica.follow_peers(peer for peer in self.addresses if peer.name != replica.name)
            self.tasks.append(asyncio.create_task(replica.run()))

    async def stop_replica(self, index: int) -> None:
        self.tasks[index].cancel()
        await asyncio.gather(self.tasks[index], return_exceptions=True)

    def start_dispatcher(
        self,
        name: str,
        addresses: list[ReplicaAddress] | None = None,
        known: Snapshot | None = None,
        **options: Any,
    ) -> Dispatcher:
        """Starts a dispatcher that follows `addresses`, by default all replicas."""
        settings = FollowerSettings(
            name=name,
            region="east",
            incarnation=options.pop("incarnation", 1),
            replicas=addresses or self.addresses,
            **options,
        )
        dispatcher = Dispatcher(settings, known or Snapshot())
        self.dispatchers.append(dispatcher)
        return dispatcher

    async def __aexit__(self, *_: object) -> None:
        for dispatcher in self.dispatchers:
            await dispatcher.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Events of the change log.

    def restart_log(self, epoch: int) -> None:
        """Restarts the log empty, and closes the connections to it."""
        self.log.restart(epoch)

    def publish_hosts(self, number: int, whole: bool = False, **states: str) -> None:
        rows = [endpoint_entry(uid, "box", 9, state) for uid, state in states.items()]
        self.log.publish(fleet_event(number, rows, whole=whole))

    def publish_purge(self, number: int, object_key: str) -> None:
        self.log.publish({"seq": number, "invalidate": {"object": object_key, "time": 1.0}})


async def fetch_status(address: tuple[str, int], version: Version | None = None) -> StatusResponse:
    """Returns a replica's status, requested over its socket."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
    version_fields = VersionFields(*version) if version is not None else None
    writer.write(encode(RequestLine(status=StatusRequest(version_fields))))
    try:
        return msgspec.json.decode(await reader.readline(), type=StatusResponse)
    finally:
        writer.close()


def at(number: int) -> Version:
    return Version(EPOCH, number)
