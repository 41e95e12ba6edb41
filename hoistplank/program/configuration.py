"""Reads and checks the configuration of one dispatcher and fills in its defaults.

The configuration is a JSON file named by EDGE_CONFIG; EDGE_NAME and EDGE_LISTEN, where set, must agree with
it. An invalid value is reported by the path of its key before the process listens. Unknown keys are ignored.
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
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import FieldError, Fields, flatten

DEFAULT_IDLE_CLOSE_S = 30.0
FIXED_KEYS = ("name", "listen", "limits", "settings")  # a change takes effect only at a restart
MAX_QUOTED = 40  # characters of an invalid value that the error message repeats

Count = Annotated[int, Meta(ge=1)]


class DispatcherConfigurationError(Exception):
    """The configuration is invalid; the message names the key and the reason."""


class Limits(msgspec.Struct, frozen=True):
    """Limits on the resources that the process uses: descriptors, memory in MB and processor cores."""

    max_descriptors: Annotated[int, Meta(ge=64)] = msgspec.field(name="sockets", default=1_024)
    memory_mb: Count = 192
    cores: Annotated[float, Meta(gt=0)] = 1.0


class ConfigurationFile(msgspec.Struct, frozen=True):
    """The content of the file, not yet checked further; `settings_reader` reads `settings`."""

    name: str
    listen: str
    changelog: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: Limits = Limits()
    known: Snapshot = Snapshot()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The checked configuration of this dispatcher, with its defaults filled in.

    `known` is the content of the change log when the file was written. A `max_open_requests` of 0 means no
    limit. `idle_close_s` is the time after which a cache host closes an idle connection. `load_report_fields`
    are the names of the values in a load report, in their order.
    """

    file: ConfigurationFile
    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    seed: int
    max_descriptors: int
    memory_mb: int
    known: Snapshot
    router_settings: RouterSettings
    max_open_requests: int
    max_requests_per_connection: int
    idle_close_s: float
    load_report_fields: tuple[str, ...]


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Returns the configuration that the environment names. Raises DispatcherConfigurationError."""
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise DispatcherConfigurationError("EDGE_CONFIG is not set: it names the configuration file")
    file = _read_file(path)
    _check_environment(environment, file)
    seed = _parse_seed(file.seed)
    _check_known(file.known)
    fields = Fields([])
    fields.pairs = flatten(file.settings)
    try:
        return Configuration(
            file=file,
            name=file.name,
            listen=_parse_address("listen", file.listen),
            changelog=_parse_address("changelog", file.changelog),
            seed=seed,
            max_descriptors=file.limits.max_descriptors,
            memory_mb=file.limits.memory_mb,
            known=file.known,
            router_settings=_read_router_settings(fields),
            max_open_requests=int(_number(fields, "limits.open_cap", minimum=0, default=0)),
            max_requests_per_connection=int(_number(fields, "limits.streams_per_conn", minimum=1, default=1)),
            idle_close_s=_number(fields, "limits.idle_close", minimum=0, default=DEFAULT_IDLE_CLOSE_S),
            load_report_fields=tuple(name for name in fields.text("report.fields", "").split(",") if name),
        )
    except FieldError as error:
        raise DispatcherConfigurationError(f"settings: {error}") from error


def reread_configuration(environment: Mapping[str, str]) -> Configuration:
    """Reads the configuration again at a reload. EDGE_NAME and EDGE_LISTEN apply to the start only and aren't
    compared."""
    return read_configuration({"EDGE_CONFIG": environment.get("EDGE_CONFIG", "")})


def changed_fixed_keys(old: Configuration, new: Configuration) -> list[str]:
    """Returns the keys that differ between the two files but take effect only at a restart."""
    return [key for key in FIXED_KEYS if getattr(old.file, key) != getattr(new.file, key)]


def _read_file(path: str) -> ConfigurationFile:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ConfigurationFile)
    except OSError as error:
        reason = f"EDGE_CONFIG: the file can't be read: {error.strerror}"
        raise DispatcherConfigurationError(reason) from error
    except msgspec.ValidationError as error:
        raise DispatcherConfigurationError(str(error)) from error
    except msgspec.DecodeError as error:
        raise DispatcherConfigurationError(f"EDGE_CONFIG: the file is not valid JSON: {error}") from error


def _check_environment(environment: Mapping[str, str], file: ConfigurationFile) -> None:
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen")):
        value = getattr(file, key)
        if environment.get(variable, value) != value:
            reason = f"{key}: the file says '{value}', {variable} '{environment[variable]}'"
            raise DispatcherConfigurationError(reason)


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise DispatcherConfigurationError(
            f"seed: '{text[:MAX_QUOTED]}' is not a hexadecimal number"
        ) from error


def _check_known(known: Snapshot) -> None:
    try:
        for event in known.results:
            check_event(event)
    except ProtocolError as error:
        raise DispatcherConfigurationError(f"known.results: {error}") from error


def _parse_address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ProtocolError as error:
        raise DispatcherConfigurationError(f"{key}: {error}") from error


def _number(fields: Fields, name: str, *, minimum: float, default: float) -> float:
    value = fields.number(name, default)
    if value < minimum:
        raise FieldError(f"field '{name}' is {value:g}, below {minimum:g}")
    return value


def _read_router_settings(fields: Fields) -> RouterSettings:
    """Returns the Router's settings. The simulator's settings are always valid and not checked by
    `read_settings`; those of a file may hold anything and are checked here."""
    settings = read_settings(fields)
    _check_traffic_classes(settings)
    rules = settings.rules
    for key, value in (
        ("rules.stop_sending_within", rules.drain_grace_us),
        ("family_info.purge_grace", rules.purge_grace_us or 0),
        ("rules.cold", rules.warm_up_us),
        ("limits.connect_timeout", rules.connect_timeout_us),
        ("limits.max_retry_after", rules.max_retry_after_us),
        ("limits.max_attempts", rules.max_attempts),
    ):
        if value < 0:
            raise FieldError(f"field '{key}' is below 0")
    return settings


def _check_traffic_classes(settings: RouterSettings) -> None:
    if not settings.traffic_classes:
        raise FieldError("field 'classes' is absent or empty")
    for index, traffic_class in enumerate(settings.traffic_classes):
        for key, value in (
            ("target", traffic_class.latency_objective_us),
            ("give_up", traffic_class.deadline_us),
        ):
            if value <= 0:
                raise FieldError(f"field 'classes.{index}.{key}' is not above 0")
