"""Turns what a scene plans into lines of the change log, and into what must then be in force. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hoistplank.fakes.settings import fleet_event
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.lab.scale.hollow_messages import Expect, HostState
from hoistplank.lab.scale.scene_schedule import Change, HostStep, Planned, Purge

PURGE, CHANGE, HOST, RENEWAL = "purge", "change", "host", "renewal"
KINDS = (PURGE, CHANGE, HOST, RENEWAL)
FIRST_UNITS, STEPS_OF_UNITS = 100.0, 50


@dataclass(frozen=True, slots=True)
class GeneratedEvent:
    """One event: its kind, its line of the log, and what a Router must hold once it is in force."""

    kind: str
    event: dict[str, Any]
    expected: Expect


class EventGenerator:
    """The source's state: its epoch and number, and the cache hosts as they were last told.

    A configuration change is told as other capacities of one zone's cache hosts: the only configuration that
    the change log carries to a running dispatcher, and in size like an operator's file. Where replicas hand
    configurations on, it is told as one: `configuration` is its text, to which its number is added.
    """

    def __init__(self, fleet: Fleet, epoch: int = 0, configuration: str = "") -> None:
        self.fleet, self.epoch, self.number, self.configuration = fleet, epoch, 0, configuration
        self.units = [FIRST_UNITS] * fleet.hosts
        self.boot_ms = [0] * fleet.hosts
        self.states = ["ready"] * fleet.hosts

    def first(self) -> GeneratedEvent:
        """The whole list, as the first event of an epoch."""
        self.number += 1
        listed = [host for host in range(self.fleet.hosts) if self.states[host] != "gone"]
        rows = [*self.fleet.hub_rows(), *(self._row(host) for host in listed)]
        states = [self._state(host) for host in range(self.fleet.hosts)]
        expected = Expect(self.epoch, self.number, hosts=states)
        return GeneratedEvent(RENEWAL, fleet_event(self.number, rows, whole=True), expected)

    def begin_anew(self) -> GeneratedEvent:
        """The source has lost its state: it counts from 1 again."""
        self.epoch, self.number = self.epoch + 1, 0
        return self.first()

    def next(self, planned: Planned, unix_ms: int) -> GeneratedEvent:
        match planned:
            case Purge(_, object_key):
                self.number += 1
                event = {"seq": self.number, "invalidate": {"time": unix_ms, "object": object_key}}
                expected = Expect(self.epoch, self.number, object_key, unix_ms * 1_000)
                return GeneratedEvent(PURGE, event, expected)
            case Change(_, number):
                return self._change(number)
            case HostStep(_, host, state):
                self.states[host] = state
                if state == "ready":
                    self.boot_ms[host] = unix_ms
                return self._listed(HOST, [host])

    def _change(self, number: int) -> GeneratedEvent:
        if self.configuration:
            self.number += 1
            text = f"; change {number}\n{self.configuration}"
            event = {"seq": self.number, "configuration": {"text": text}}
            return GeneratedEvent(CHANGE, event, Expect(self.epoch, self.number, configures=True))
        zones = self.fleet.zones
        hosts = [host for host in range(self.fleet.hosts) if host % zones == number % zones]
        for host in hosts:
            self.units[host] = FIRST_UNITS + number % STEPS_OF_UNITS
        return self._listed(CHANGE, [host for host in hosts if self.states[host] != "gone"])

    def _listed(self, kind: str, hosts: list[int]) -> GeneratedEvent:
        self.number += 1
        event = fleet_event(self.number, [self._row(host) for host in hosts])
        return GeneratedEvent(
            kind, event, Expect(self.epoch, self.number, hosts=[self._state(host) for host in hosts])
        )

    def _row(self, host: int) -> dict[str, Any]:
        return self.fleet.host_row(host, self.boot_ms[host], self.units[host], self.states[host])

    def _state(self, host: int) -> HostState:
        name = str(self._row(host)["uid"])
        return HostState(name, self.states[host], self.boot_ms[host] * 1_000, self.units[host])
