"""A process of hollow dispatchers: `python -m hoistplank.lab.scale.hollow_process`.

Its first line on standard input is a `HollowPlan`, each later one a `Command`; it answers with a `Report` a
line. It ends with its standard input, so that nothing is left when the rig is gone.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from pathlib import Path
from random import Random

import msgspec
import structlog
import uvloop

from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.scale.broken import HOLLOW
from hoistplank.lab.scale.hollow import FollowerFactory, HollowDispatcher, LogFollower, Position, Source
from hoistplank.lab.scale.hollow_audit import Auditor
from hoistplank.lab.scale.hollow_messages import (
    Acknowledged,
    AskUsage,
    Command,
    Expect,
    FalseAcknowledgement,
    HollowDispatcherPlan,
    HollowPlan,
    Ready,
    Report,
    Start,
    Stop,
    Usage,
)
from hoistplank.lab.scale.run_lateness import Lateness
from hoistplank.protocol.changelog import Snapshot
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import Fields, flatten

FLUSH_S = 0.1  # how often acknowledgements are handed on
MOST_LINE = 1 << 26
MOST_FALSE = 1_000  # told of a process: one that lies always would fill the pipe


def follower_factory(through: str) -> FollowerFactory:
    """What follows the change log, or control replicas."""
    if through == "replicas":
        from hoistplank.lab.scale.hollow_replicas import ReplicaFollowing

        return ReplicaFollowing
    return LogFollower


def resident_kb() -> int:
    """The memory of this process now (Linux)."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4


def site_of(settings: dict[str, object]) -> RouterSettings:
    facts = Fields([])
    facts.pairs = flatten(settings)
    return read_settings(facts)


class HollowHost:
    """All dispatchers of this process, and what it is told to do with them."""

    def __init__(self, plan: HollowPlan, send: asyncio.WriteTransport) -> None:
        self.plan, self.send = plan, send
        self.factory = follower_factory(plan.through)
        self.known = msgspec.convert(plan.known, Snapshot)
        self.seats = {seat.number: seat for seat in plan.seats}
        self.dispatchers = {seat.number: self._dispatcher(seat) for seat in plan.seats}
        self.auditor, self.lateness = Auditor(), Lateness()
        self.false_told = 0
        self.rows: tuple[list[int], list[int], list[int], list[int]] = ([], [], [], [])
        # Acknowledgements of events that are not known here yet.
        self.early: list[tuple[HollowDispatcher, Position, Position]] = []

    def _dispatcher(self, seat: HollowDispatcherPlan) -> HollowDispatcher:
        broken = self.plan.broken and seat.number in self.plan.broken_numbers
        kind = HOLLOW[self.plan.broken] if broken else HollowDispatcher
        return kind(seat.number, seat.name, site_of(seat.settings), self.acknowledged)

    def acknowledged(self, dispatcher: HollowDispatcher, position: Position, at_us: int) -> None:
        for row, value in zip(
            self.rows, (dispatcher.number, position.epoch, position.number, at_us), strict=True
        ):
            row.append(value)
        if not self.plan.audited:
            return
        before = dispatcher.audited
        dispatcher.audited = position
        if self.auditor.knows(position):
            self._audit(dispatcher, before, position)
        else:
            self.early.append((dispatcher, before, position))

    def _audit(self, dispatcher: HollowDispatcher, before: Position, now: Position) -> None:
        if dispatcher.owner is None:
            return
        follower = dispatcher.follower
        configured = follower.configured() if follower is not None else Position(0, 0)
        for number, what in self.auditor.missing(dispatcher.owner.router, configured, before, now):
            self.false_told += 1
            if self.false_told <= MOST_FALSE:
                self.report(FalseAcknowledgement(dispatcher.number, now.epoch, number, what))

    def expect(self, event: Expect) -> None:
        self.auditor.expect(event)
        early, self.early = self.early, []
        for dispatcher, before, position in early:
            if self.auditor.knows(position) and self.auditor.knows(dispatcher.audited):
                # Danger: its Router may have gone on meanwhile, and what was overtaken would look lost.
                self._audit(dispatcher, before, dispatcher.audited)
            else:
                self.early.append((dispatcher, before, position))

    def report(self, message: Report) -> None:
        self.send.write(msgspec.json.encode(message) + b"\n")

    def flush(self) -> None:
        if self.rows[0]:
            self.report(Acknowledged(*self.rows))
            self.rows = ([], [], [], [])

    async def flushing(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()

    def obey(self, command: Command) -> None:
        match command:
            case Start(numbers, epoch):
                for number in numbers:
                    self._start(self.seats[number], epoch)
            case Stop(numbers):
                for number in numbers:
                    self.dispatchers[number].stop()
            case Expect():
                self.expect(command)
            case AskUsage():
                self.flush()
                self.report(self._usage())

    def _start(self, seat: HollowDispatcherPlan, epoch: int) -> None:
        dispatcher = self.dispatchers[seat.number]
        dispatcher.lives += 1
        chance = Random(f"{self.plan.seed}/{seat.number}/{dispatcher.lives}")
        # The list of the start belongs to the log's first epoch; a later one begins with its own.
        known = self.known if epoch <= 1 else Snapshot()
        source = Source(
            name=seat.name,
            region=seat.region,
            life=dispatcher.lives,
            addresses=[("127.0.0.1", port) for port in seat.ports],
            known=known,
            epoch=epoch,
            chance=chance,
            grace_s=dispatcher.site.rules.shortest_grace_us / 1e6,
        )
        dispatcher.audited = Position(epoch, known.seq)
        dispatcher.start(self.factory, source)

    def _usage(self) -> Usage:
        each = list(self.dispatchers.values())
        return Usage(
            cpu_s=time.process_time(),
            rss_kb=resident_kb(),
            late_us=self.lateness.taken(),
            running=sum(dispatcher.running for dispatcher in each),
            audited=self.auditor.audited,
            reconnects=sum(dispatcher.reconnects for dispatcher in each),
        )


async def serve() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    send, _ = await loop.connect_write_pipe(asyncio.BaseProtocol, sys.stdout)
    host = HollowHost(msgspec.json.decode(await reader.readline(), type=HollowPlan), send)
    decoder = msgspec.json.Decoder(Command)
    beside = [asyncio.create_task(host.flushing()), asyncio.create_task(host.lateness.run())]
    host.report(Ready(resident_kb()))
    while line := await reader.readline():
        host.obey(decoder.decode(line))
    for task in beside:
        task.cancel()
    for dispatcher in host.dispatchers.values():
        dispatcher.stop()
    await asyncio.gather(*(dispatcher.ended() for dispatcher in host.dispatchers.values()))


def main() -> int:
    # What dispatchers complain of is counted; standard output belongs to the messages.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
