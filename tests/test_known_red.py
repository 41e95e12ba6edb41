"""The list of known failures: its form, and what a run does with it."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import BadList, Red, read, unknown

ROOT = Path(__file__).parent.parent
RED = "tests/test_it.py::test_red | a fault | 7\n"


def test_a_line_is_a_test_a_cause_and_an_issue() -> None:
    assert read("tests/test_a.py::test_b[x y] | the host forgets | 32\n") == [
        Red("tests/test_a.py::test_b[x y]", "the host forgets", 32)
    ]
    assert read("") == []


@pytest.mark.parametrize(
    "text, told",
    [
        ("tests/test_a.py::test_b | cause\n", "line 1: "),
        ("tests/test_a.py::test_b | cause | soon\n", "line 1: "),
        ("tests/test_a.py::test_b | cause | 1\n\n", "line 2: "),
        ("test_b | cause | 1\n", "line 1: "),
        ("tests/test_a.py::test_b | cause | 1\n" * 2, "twice"),
        ("".join(f"tests/test_a.py::test_{n} | cause | 1\n" for n in range(4)), "4 lines"),
    ],
)
def test_what_is_no_such_list_is_told(text: str, told: str) -> None:
    with pytest.raises(BadList, match=told):
        read(text)


def test_a_name_without_a_case_stands_for_all_of_them() -> None:
    collected = {"tests/test_a.py::test_b[1]", "tests/test_a.py::test_c"}
    rows = [Red(f"tests/test_a.py::test_{name}", "", 1) for name in ("b", "b[1]", "c", "d")]
    assert unknown(rows, collected) == ["tests/test_a.py::test_d"]


@pytest.mark.parametrize(
    "listed, code, told",
    [
        ("", 1, "1 failed, 1 passed"),
        (RED, 0, "known red: tests/test_it.py::test_red: a fault (issue 7)"),
        (RED + "tests/test_it.py::test_green | none | 7\n", 1, "XPASS(strict)"),
        (RED.replace("red", "gone"), 4, "KNOWN-RED.txt names no test: tests/test_it.py::test_gone"),
        ("a fault\n", 4, "KNOWN-RED.txt, line 1: 'a fault' is not"),
    ],
)
def test_a_run_passes_over_just_what_the_list_names(
    tmp_path: Path, listed: str, code: int, told: str
) -> None:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests" / name)
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_red() -> None:\n    assert False\n\n\ndef test_green() -> None:\n    pass\n"
    )
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "-p", "no:xdist", "-ra", "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, told in done.stdout + done.stderr) == (code, True), done.stdout + done.stderr
