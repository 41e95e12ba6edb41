"""What the operator's file asks for, made before anything listens. Imported only where such a file is
named."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import BadConfiguration, Configuration
from hoistplank.program.service import Addition

if TYPE_CHECKING:
    from hoistplank.authorization.service import AuthorizationService
    from hoistplank.degradation.service import LevelsService

MAIN = ("callers", "membership", "levels", "distribution")
LOCAL = "distribution"  # the form that stands in a dispatcher's own file alone


class Added:
    """The additions of one operator's file, and its reading anew."""

    def __init__(self, file: str, configuration: Configuration, section: Section) -> None:
        self.file, self.configuration, self.section = file, configuration, section
        self.form: str = section["log"]["format"]
        self.authorizer: AuthorizationService | None = None
        self.each: list[Addition] = []
        self.levels: LevelsService | None = None
        self.distributed: bytes | None = None  # the configuration in force that replicas handed on
        self.distributed_name = ""
        if section["distribution"] is not None:
            from hoistplank.distribution.service import DistributionService

            # First of all: it takes the place of the change log's watch, which others look at.
            self.each.append(DistributionService(section["distribution"], configuration, self.read_text))
        if section["callers"] is not None:
            from hoistplank.authorization.service import AuthorizationService

            _classes_known(section["callers"], configuration)
            self.authorizer = AuthorizationService(section["callers"], file, configuration.site)
            self.each.append(self.authorizer)
        if section["membership"] is not None:
            from hoistplank.membership.service import MembershipService

            self.each.append(MembershipService(section["membership"], file, configuration))
        if section["levels"] is not None:
            from hoistplank.degradation.service import LevelsService

            self.levels = LevelsService(section["levels"], file, configuration)
            self.each.append(self.levels)

    def read_again(self) -> Callable[[], None]:
        """The file and all that it names, read and checked; raises BadConfiguration; what is returned takes
        it up.

        Danger: where replicas handed on a configuration, the file on the disk is older: it is checked, and
        what is in force is read again with the files that it names.
        """
        take_file = self._prepared(lambda: _loaded(self.file))
        if self.distributed is None:
            return take_file
        return self.read_text(self.distributed, self.distributed_name)()

    def read_text(self, data: bytes, name: str) -> Callable[[], Callable[[], None]]:
        """A configuration that replicas hand on, parsed; raises BadConfiguration. What is returned checks it
        against what runs and returns the call that takes it up."""
        try:
            section = _understood(data, name)
        except ConfigurationError as wrong:
            raise BadConfiguration(str(wrong)) from None

        def check() -> Callable[[], None]:
            prepared = self._prepared(lambda: self._with_local(section))

            def take() -> None:
                prepared()
                self.distributed, self.distributed_name = data, name

            return take

        return check

    def _with_local(self, section: Section) -> Section:
        """A section that replicas handed on, with the form that only this dispatcher's own file may hold."""
        if section[LOCAL] is not None:
            found = f"'({LOCAL} …)' in a configuration that is handed on"
            raise ConfigurationError(
                [Diagnostic(section.location_of(LOCAL), found, "it in each dispatcher's own file alone")]
            )
        section.values[LOCAL] = self.section[LOCAL]
        return section

    def _prepared(self, load: Callable[[], Section]) -> Callable[[], None]:
        try:
            section = load()
            for form in MAIN:
                if (self.section[form] is None) != (section[form] is None):
                    raise BadConfiguration(
                        f"{section.location_of(form)}: '({form} …)' can't come or go while the program runs"
                    )
            take_up, take_levels = None, None
            if self.authorizer is not None:
                _classes_known(section["callers"], self.configuration)
                take_up = self.authorizer.prepare_reload(section["callers"])
            if self.levels is not None:
                take_levels = self.levels.prepared(section["levels"])
        except ConfigurationError as wrong:
            raise BadConfiguration(str(wrong)) from None

        def take() -> None:
            self.section = section
            for each in (take_up, take_levels):
                if each is not None:
                    each()

        return take


def _loaded(file: str) -> Section:
    from hoistplank.program.sections import load

    return load(file)


def _understood(data: bytes, name: str) -> Section:
    from hoistplank.program.sections import understood

    return understood(data, name)


def _classes_known(callers: Section, configuration: Configuration) -> None:
    known = {traffic_class.name for traffic_class in configuration.site.traffic_classes}
    faults = [
        Diagnostic(
            tenant.location_of("tracks"),
            f"the traffic class '{class_name}'",
            "one of the settings': " + ", ".join(sorted(known)),
        )
        for tenant in callers["tenant"]
        for class_name in tenant["tracks"]
        if class_name not in known
    ]
    if faults:
        raise ConfigurationError(faults)


def added(file: str, configuration: Configuration) -> Added:
    """The additions to a dispatcher; raises BadConfiguration, a line for each fault."""
    try:
        return Added(file, configuration, _loaded(file))
    except ModuleNotFoundError as wrong:
        raise BadConfiguration(
            f"{file}: needs '{wrong.name}': pip install -r requirements-service.txt"
        ) from None
    except ConfigurationError as wrong:
        raise BadConfiguration(str(wrong)) from None
