"""The simulator protocol: recorded batches get the recorded answers of an earlier version, byte for byte."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tests.fixture_files import FIXTURES, fixture_xz

RECORDINGS = sorted(path.name.removesuffix(".in.xz") for path in (FIXTURES / "wire").glob("*.in.xz"))


def test_recordings_contain_every_message_type() -> None:
    lines = [line for name in RECORDINGS for line in fixture_xz(f"wire/{name}.in.xz").split(b"\n")]
    answers = [line for name in RECORDINGS for line in fixture_xz(f"wire/{name}.out.xz").split(b"\n")]
    assert {line.split(b" ")[0] for line in lines if line} == {
        *(b"FRAME", b"COMMIT", b"LAUNCH", b"SHEET", b"ITEM"),
        *(b"PEERS_KNOWN", b"DEMAND", b"VERDICT", b"TICK_DUE", b"PURGED"),
    }
    assert {line.split(b" ")[0] for line in answers if line} == {
        *(b"DONE", b"SERVE_VIA", b"ARM", b"SEND", b"DECLINE")
    }


@pytest.mark.parametrize("name", RECORDINGS)
def test_recorded_input_gives_recorded_output(name: str) -> None:
    adapter = subprocess.run(
        [sys.executable, "-m", "hoistplank.benchlink"],
        input=fixture_xz(f"wire/{name}.in.xz"),
        capture_output=True,
        timeout=120,
        check=False,
    )
    assert (adapter.returncode, adapter.stderr) == (0, b"")
    answers = adapter.stdout.split(b"DONE\n")
    expected = fixture_xz(f"wire/{name}.out.xz").split(b"DONE\n")
    assert len(answers) == len(expected)
    for batch, (answer, expected_answer) in enumerate(zip(answers, expected, strict=True), 1):
        assert answer == expected_answer, f"batch {batch}"
