"""What holds for every test file."""

from __future__ import annotations

import gc
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

from tests.known_red import BadList, Red, read, unknown

# The same cases every time: what CI says of a text must not depend on the draw. `HYPOTHESIS_PROFILE=explore`
# draws anew, for a session that looks for more.
settings.register_profile("same", derandomize=True, database=None)
settings.register_profile("explore", derandomize=False)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))


LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


def reds() -> list[Red]:
    try:
        return read(LIST.read_text()) if LIST.exists() else []
    except BadList as wrong:
        raise pytest.UsageError(str(wrong)) from None


def pytest_configure() -> None:
    reds()  # a list that can't be read ends the run before its first test


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Tests of the list run, and are expected to fail: one that passes fails the run until its line goes."""
    found = reds()
    whole = (
        not config.option.keyword
        and not config.option.markexpr
        and not [arg for arg in config.args if "::" in arg or arg.endswith(".py")]
    )
    if whole and (names := unknown(found, {item.nodeid for item in items})):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(names)}")
    for item in items:
        for red in found:
            if item.nodeid == red.test or item.nodeid.partition("[")[0] == red.test:
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for red in reds():
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})", yellow=True)


@pytest.fixture(autouse=True, scope="module")
def light_heap() -> None:
    """Danger: a dispatcher inside the test process shares its heap; after the laboratory's tests one pass of
    the collector stops the loop for 50 ms and more, which the dispatcher takes for a full core, and it turns
    requests back."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()
