"""The subsystems that the operator file enables: built before the process listens, and reloaded with it.

Imported only if an operator file is named; a subsystem is imported only if the file has its form.
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

FIXED_FORMS = ("callers", "membership", "levels", "distribution")  # a reload can't add or remove them
LOCAL_FORM = "distribution"  # allowed only in a dispatcher's own file, not in a distributed configuration

Apply = Callable[[], None]  # applies a configuration that was read and checked


@dataclass(frozen=True, slots=True)
class _DistributedText:
    """The text of the distributed configuration in force; diagnostics give `name` as its file."""

    data: bytes
    name: str


class Extensions:
    """Builds the subsystems of one operator file and reloads it. Raises ConfigurationError."""

    def __init__(self, file: str, configuration: Configuration, section: Section) -> None:
        self.log_format: str = section["log"]["format"]
        self.enabled: list[Extension] = []
        self.authorizer: AuthorizationService | None = None
        self.degradation: DegradationService | None = None
        self._file = file
        self._configuration = configuration
        self._section = section
        self._distributed: _DistributedText | None = None
        # Attached first: it replaces the change log's watcher, which the others refer to.
        self._add_distribution()
        self._add_authorization()
        self._add_membership()
        self._add_degradation()

    def _add_distribution(self) -> None:
        section = self._section["distribution"]
        if section is not None:
            from hoistplank.distribution.service import DistributionService

            self.enabled.append(DistributionService(section, self._configuration, self.parse_distributed))

    def _add_authorization(self) -> None:
        section = self._section["callers"]
        if section is not None:
            from hoistplank.authorization.service import AuthorizationService

            _check_tenant_classes(section, self._configuration)
            self.authorizer = AuthorizationService(section, self._file, self._configuration.router_settings)
            self.enabled.append(self.authorizer)

    def _add_membership(self) -> None:
        section = self._section["membership"]
        if section is not None:
            from hoistplank.membership.service import MembershipService

            self.enabled.append(MembershipService(section, self._file, self._configuration))

    def _add_degradation(self) -> None:
        section = self._section["levels"]
        if section is not None:
            from hoistplank.degradation.service import DegradationService

            self.degradation = DegradationService(section, self._configuration)
            self.enabled.append(self.degradation)

    def prepare_reload(self) -> Apply:
        """Reads and checks the file and the files it names; raises DispatcherConfigurationError.

        If a distributed configuration is in force, the file on disk is older and applying it would undo the
        newer one: the file is only checked, and the distributed text is prepared again with the files it
        names.
        """
        apply_file = self._prepare(lambda: _load(self._file))
        if self._distributed is None:
            return apply_file
        return self.parse_distributed(self._distributed.data, self._distributed.name)()

    def parse_distributed(self, data: bytes, name: str) -> Callable[[], Apply]:
        """Parses a distributed configuration. The function returned checks it against the running one and
        returns the function that applies it. Raises DispatcherConfigurationError."""
        try:
            section = _parse(data, name)
        except ConfigurationError as error:
            raise DispatcherConfigurationError(str(error)) from error

        def check() -> Apply:
            prepared = self._prepare(lambda: self._with_local_form(section))

            def apply() -> None:
                prepared()
                self._distributed = _DistributedText(data, name)

            return apply

        return check

    def _with_local_form(self, section: Section) -> Section:
        """Returns a distributed section with LOCAL_FORM added from this dispatcher's own file; raises
        ConfigurationError if it already has one."""
        if section[LOCAL_FORM] is not None:
            found = f"'({LOCAL_FORM} …)' in a distributed configuration"
            expected = "it only in each dispatcher's own file"
            raise ConfigurationError([Diagnostic(section.location_of(LOCAL_FORM), found, expected)])
        section.values[LOCAL_FORM] = self._section[LOCAL_FORM]
        return section

    def _prepare(self, load: Callable[[], Section]) -> Apply:
        """Loads a section and checks it against the running one; raises DispatcherConfigurationError."""
        try:
            section = load()
            self._check_forms(section)
            reloads = self._prepare_reloads(section)
        except ConfigurationError as error:
            raise DispatcherConfigurationError(str(error)) from error

        def apply() -> None:
            self._section = section
            for reload in reloads:
                reload()

        return apply

    def _check_forms(self, section: Section) -> None:
        for form in FIXED_FORMS:
            if (self._section[form] is None) != (section[form] is None):
                location = section.location_of(form)
                raise DispatcherConfigurationError(
                    f"{location}: '({form} …)' can't be added or removed while the program runs"
                )

    def _prepare_reloads(self, section: Section) -> list[Apply]:
        reloads = list[Apply]()
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
    """Raises ConfigurationError if a tenant names a traffic class that the settings don't have."""
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
    """Returns the extensions of a dispatcher. Raises DispatcherConfigurationError with a line for each
    problem."""
    try:
        return Extensions(file, configuration, _load(file))
    except ModuleNotFoundError as error:
        reason = f"needs '{error.name}': pip install -r requirements-service.txt"
        raise DispatcherConfigurationError(f"{file}: {reason}") from error
    except ConfigurationError as error:
        raise DispatcherConfigurationError(str(error)) from error
