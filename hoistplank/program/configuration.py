"""Reads and checks the configuration of one dispatcher and fills in its defaults.

It is a JSON file named by EDGE_CONFIG; EDGE_NAME and EDGE_LISTEN, where set, must agree with it. A value that
can't be used is reported by the path of its key, before anything listens. Unknown keys are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from hoistplank.decision.settings import RouterSettings
from hoistplank.protocol.changelog import Snapshot, check_event, parse_address
from hoistplank.protocol.errors import ProtocolError
from hoistplank.settings_reader import FactError, Fields, flat, site

Count = Annotated[int, Meta(ge=1)]


class BadConfiguration(Exception):
    """Its text names the key and says what is wrong with it."""


class Limits(msgspec.Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=64)] = 1_024
    memory_mb: Count = 192
    cores: Annotated[float, Meta(gt=0)] = 1.0


class Written(msgspec.Struct, frozen=True):
    """The file as it stands."""

    name: str
    listen: str
    changelog: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = Limits()
    known: Snapshot = Snapshot()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The checked configuration of this dispatcher, with its defaults filled in."""

    written: Written
    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    known: Snapshot
    site: RouterSettings
    open_cap: int
    streams: int
    idle_s: float
    reported: tuple[str, ...]


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ProtocolError as wrong:
        raise BadConfiguration(f"{key}: {wrong}") from None


def _checked(facts: Fields, name: str, least: float, default: float) -> float:
    value = facts.number(name, default)
    if value < least:
        raise FactError(f"field '{name}' is {value:g}, below {least:g}")
    return value


def _site(facts: Fields) -> RouterSettings:
    """The settings as a RouterSettings; the simulator's are always sound, a file's may hold anything."""
    made = site(facts)
    if not made.traffic_classes:
        raise FactError("field 'classes' is absent or empty")
    for i, traffic_class in enumerate(made.traffic_classes):
        for key, value in (
            ("target", traffic_class.latency_objective_us),
            ("give_up", traffic_class.deadline_us),
        ):
            if value <= 0:
                raise FactError(f"field 'classes.{i}.{key}' is not above 0")
    rules = made.rules
    for key, figure in (
        ("rules.stop_sending_within", rules.drain_grace_us),
        ("rules.cold", rules.warm_up_us),
        ("limits.connect_timeout", rules.connect_timeout_us),
        ("limits.max_retry_after", rules.max_retry_after_us),
        ("limits.max_attempts", rules.max_attempts),
    ):
        if figure < 0:
            raise FactError(f"field '{key}' is below 0")
    return made


def read_again(environment: Mapping[str, str]) -> Configuration:
    """At a reload: what the environment says of name and address held for the start."""
    return read({"EDGE_CONFIG": environment.get("EDGE_CONFIG", "")})


def fixed(old: Configuration, new: Configuration) -> list[str]:
    """The keys of a file read again that differ and can't be changed while the program runs."""
    keys = ("name", "listen", "limits", "settings")
    return [key for key in keys if getattr(old.written, key) != getattr(new.written, key)]


def read(environment: Mapping[str, str]) -> Configuration:
    """The configuration that the environment names. Raises BadConfiguration."""
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise BadConfiguration("EDGE_CONFIG is not set: it names the configuration file")
    try:
        written = msgspec.json.decode(Path(path).read_bytes(), type=Written)
    except OSError as wrong:
        raise BadConfiguration(f"EDGE_CONFIG: the file can't be read: {wrong.strerror}") from None
    except msgspec.ValidationError as wrong:
        raise BadConfiguration(str(wrong)) from None
    except msgspec.DecodeError as wrong:
        raise BadConfiguration(f"EDGE_CONFIG: the file is no JSON: {wrong}") from None
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen")):
        value = getattr(written, key)
        if environment.get(variable, value) != value:
            raise BadConfiguration(f"{key}: the file says '{value}', {variable} '{environment[variable]}'")
    try:
        seed = int(written.seed, 16)
    except ValueError:
        raise BadConfiguration(f"seed: '{written.seed[:40]}' is no hex number") from None
    try:
        for event in written.known.results:
            check_event(event)
    except ProtocolError as wrong:
        raise BadConfiguration(f"known.results: {wrong}") from None
    facts = Fields([])
    facts.pairs = flat(written.settings)
    try:
        return Configuration(
            written=written,
            name=written.name,
            listen=_address("listen", written.listen),
            changelog=_address("changelog", written.changelog),
            seed=seed,
            sockets=written.limits.sockets,
            memory_mb=written.limits.memory_mb,
            known=written.known,
            site=_site(facts),
            open_cap=int(_checked(facts, "limits.open_cap", 0, 0)),
            streams=int(_checked(facts, "limits.streams_per_conn", 1, 1)),
            idle_s=_checked(facts, "limits.idle_close", 0, 30),
            reported=tuple(name for name in facts.text("report.fields", "").split(",") if name),
        )
    except FactError as wrong:
        raise BadConfiguration(f"settings: {wrong}") from None
