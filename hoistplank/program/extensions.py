"""The subsystems that the operator's file asks for: built before anything listens, and prepared for a reload.

Imported only where such a file is named; a subsystem is imported only where the file has its form.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration, DispatcherConfigurationError
from hoistplank.program.extension_protocol import Extension

if TYPE_CHECKING:
    from hoistplank.authorization.service import AuthorizationService
    from hoistplank.degradation.service import DegradationService

FIXED_FORMS = ("callers", "membership", "levels", "distribution")  # they can't come or go at a reload
LOCAL_FORM = "distribution"  # stands in a dispatcher's own file alone

TakeUp = Callable[[], None]  # puts what was read and checked in force


@dataclass(frozen=True, slots=True)
class _DistributedText:
    """The configuration in force that replicas handed on, with the name that diagnostics give it."""

    data: bytes
    name: str


class Extensions:
    """The subsystems of one operator's file, and its reload. Raises ConfigurationError."""

    def __init__(self, file: str, configuration: Configuration, section: Section) -> None:
        self.form: str = section["log"]["format"]
        self.each: list[Extension] = []
        self.authorizer: AuthorizationService | None = None
        self.degradation: DegradationService | None = None
        self._file = file
        self._configuration = configuration
        self._section = section
        self._distributed: _DistributedText | None = None
        # First of all: it takes the place of the change log's watcher, which others refer to.
        self._add_distribution()
        self._add_authorization()
        self._add_membership()
        self._add_degradation()

    def _add_distribution(self) -> None:
        section = self._section["distribution"]
        if section is not None:
            from hoistplank.distribution.service import DistributionService

            self.each.append(DistributionService(section, self._configuration, self.parse_distributed))

    def _add_authorization(self) -> None:
        section = self._section["callers"]
        if section is not None:
            from hoistplank.authorization.service import AuthorizationService

            _check_tenant_classes(section, self._configuration)
            self.authorizer = AuthorizationService(section, self._file, self._configuration.router_settings)
            self.each.append(self.authorizer)

    def _add_membership(self) -> None:
        section = self._section["membership"]
        if section is not None:
            from hoistplank.membership.service import MembershipService

            self.each.append(MembershipService(section, self._file, self._configuration))

    def _add_degradation(self) -> None:
        section = self._section["levels"]
        if section is not None:
            from hoistplank.degradation.service import DegradationService

            self.degradation = DegradationService(section, self._configuration)
            self.each.append(self.degradation)

    def read_again(self) -> TakeUp:
        """The file and all that it names, read and checked; raises DispatcherConfigurationError.

        Danger: where replicas handed on a configuration, the file on the disk is older: it is checked, and
        what is in force is read again with the files that it names.
        """
        take_up_file = self._prepare(lambda: _load(self._file))
        if self._distributed is None:
            return take_up_file
        return self.parse_distributed(self._distributed.data, self._distributed.name)()

    def parse_distributed(self, data: bytes, name: str) -> Callable[[], TakeUp]:
        """Parses a configuration that replicas hand on. What is returned checks it against what runs
        and returns the call that takes it up. Raises DispatcherConfigurationError."""
        try:
            section = _parse(data, name)
        except ConfigurationError as error:
            raise DispatcherConfigurationError(str(error)) from error

        def check() -> TakeUp:
            prepared = self._prepare(lambda: self._with_local_form(section))

            def take_up() -> None:
                prepared()
                self._distributed = _DistributedText(data, name)

            return take_up

        return check

    def _with_local_form(self, section: Section) -> Section:
        """A section that replicas handed on, with the form that only this dispatcher's own file may hold."""
        if section[LOCAL_FORM] is not None:
            found = f"'({LOCAL_FORM} …)' in a configuration that is handed on"
            expected = "it in each dispatcher's own file alone"
            raise ConfigurationError([Diagnostic(section.location_of(LOCAL_FORM), found, expected)])
        section.values[LOCAL_FORM] = self._section[LOCAL_FORM]
        return section

    def _prepare(self, load: Callable[[], Section]) -> TakeUp:
        """A section loaded and checked against what runs; raises DispatcherConfigurationError."""
        try:
            section = load()
            self._check_forms(section)
            reloads = self._prepare_reloads(section)
        except ConfigurationError as error:
            raise DispatcherConfigurationError(str(error)) from error

        def take_up() -> None:
            self._section = section
            for reload in reloads:
                reload()

        return take_up

    def _check_forms(self, section: Section) -> None:
        for form in FIXED_FORMS:
            if (self._section[form] is None) != (section[form] is None):
                location = section.location_of(form)
                raise DispatcherConfigurationError(
                    f"{location}: '({form} …)' can't come or go while the program runs"
                )

    def _prepare_reloads(self, section: Section) -> list[TakeUp]:
        reloads = list[TakeUp]()
        if self.authorizer is not None:
            _check_tenant_classes(section["callers"], self._configuration)
            reloads.append(self.authorizer.prepare_reload(section["callers"]))
        if self.degradation is not None:
            reloads.append(self.degradation.prepare_reload(section["levels"]))
        return reloads


def _load(file: str) -> Section:
    from hoistplank.program.sections import load_file

    return load_file(file)


def _parse(data: bytes, name: str) -> Section:
    from hoistplank.program.sections import parse_file

    return parse_file(data, name)


def _check_tenant_classes(callers: Section, configuration: Configuration) -> None:
    """Raises ConfigurationError where a tenant names a traffic class that the settings don't have."""
    known = {traffic_class.name for traffic_class in configuration.router_settings.traffic_classes}
    expected = "one of the settings': " + ", ".join(sorted(known))
    diagnostics = [
        Diagnostic(tenant.location_of("tracks"), f"the traffic class '{class_name}'", expected)
        for tenant in callers["tenant"]
        for class_name in tenant["tracks"]
        if class_name not in known
    ]
    if diagnostics:
        raise ConfigurationError(diagnostics)


def load_extensions(file: str, configuration: Configuration) -> Extensions:
    """The extensions of a dispatcher. Raises DispatcherConfigurationError, a line for each problem."""
    try:
        return Extensions(file, configuration, _load(file))
    except ModuleNotFoundError as error:
        reason = f"needs '{error.name}': pip install -r requirements-service.txt"
        raise DispatcherConfigurationError(f"{file}: {reason}") from error
    except ConfigurationError as error:
        raise DispatcherConfigurationError(str(error)) from error
