"""The command line: exit codes, files, help, start of the dispatcher, and secrets in its log."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner, Result

from hoistplank.authorization.jws import parse_token
from hoistplank.cli.main import main
from hoistplank.fakes.certificate_authority import (
    FakeCertificateAuthority,
    TokenSigner,
    operator_text,
    private_key_pem,
    write_key_set,
)
from hoistplank.fakes.deployment import deployment_settings, free_port
from hoistplank.program.logging_setup import REDACTED, redact


def call(*arguments: str, text: str = "") -> Result:
    return CliRunner().invoke(main, [*arguments], input=text)


def test_operator_file_of_repository_is_valid_and_formatted() -> None:
    file = str(Path(__file__).parents[1] / "deploy" / "operator.sexp")
    assert (call("check", file).exit_code, call("fmt", "--check", file).exit_code) == (0, 0)


def test_check_and_fmt_report_errors_and_leave_invalid_file_unchanged(tmp_path: Path) -> None:
    file = tmp_path / "op.sexp"
    file.write_text("(callers (tokens (skew 9)))")
    result = call("check", "--json", str(file))
    row = json.loads(result.stdout)
    assert (result.exit_code, row["line"], row["column"], row["found"]) == (2, 1, 24, "'9'")
    assert call("check", str(tmp_path / "none")).exit_code == 2
    file.write_text("(callers (tokens (skew   9s))")
    assert call("fmt", str(file)).exit_code == 2 and file.read_text() == "(callers (tokens (skew   9s))"
    file.write_text("(callers (strangers\n refuse))")
    assert call("fmt", "--check", str(file)).exit_code == 1
    assert call("fmt", str(file)).exit_code == 0
    assert (
        file.read_text() == "(callers (strangers refuse))\n"
        and call("fmt", "--check", str(file)).exit_code == 0
    )


def test_key_rotation_by_commands(tmp_path: Path) -> None:
    ring = str(tmp_path / "ring")
    for words in (
        ["make", "old"],
        ["publish", "old"],
        ["sign-with", "old"],
        ["make", "new", "--alg", "ES256"],
    ):
        assert call("keys", *words, "--ring", ring).exit_code == 0, words
    assert (tmp_path / "ring" / "old.pem").stat().st_mode & 0o777 == 0o600
    assert "PRIVATE" not in (tmp_path / "ring" / "ring.json").read_text()
    words = [
        "token",
        "make",
        "--issuer",
        "i",
        "--audience",
        "a",
        "--subject",
        "s",
        "--for",
        "15min",
        "--ring",
        ring,
    ]
    token = call(*words).stdout.strip()
    assert parse_token(token, 4_096).kid == "old"
    assert call(*words[:-4], "--for", "15", "--ring", ring).exit_code == 2
    for words_, code in (
        (["retire", "old"], 2),
        (["sign-with", "new"], 2),
        (["publish", "new"], 0),
        (["sign-with", "new"], 0),
        (["make", "new"], 2),
        (["make", "../x"], 2),
        (["retire", "old"], 0),
        (["sign-with", "old"], 2),
    ):
        assert call("keys", *words_, "--ring", ring).exit_code == code, words_
    rows = [json.loads(line) for line in call("keys", "list", "--json", "--ring", ring).stdout.splitlines()]
    assert [(row["kid"], row["state"]) for row in rows] == [("old", "retired"), ("new", "signing")]
    assert not (tmp_path / "ring" / "old.pem").exists()
    result = call("token", "show", "--json", text=call(*words).stdout)
    assert json.loads(result.stdout)["kid"] == "new" and call("token", "show", text="x.y").exit_code == 2
    (tmp_path / "ring" / "new.pem").chmod(0o640)
    assert call(*words).exit_code == 2


def test_revoke_appends_revocations_and_refuses_invalid_options(tmp_path: Path) -> None:
    file = tmp_path / "revoked.jsonl"
    assert call("revoke", "jti", "j1", "--issuer", "i", "--file", str(file)).exit_code == 0
    assert call("revoke", "serial", "1f", "--days", "30", "--file", str(file)).exit_code == 2
    assert call("revoke", "serial", "1f", "--until", "30", "--file", str(file)).exit_code == 0
    assert call("revoke", "jti", "j1", "--file", str(file)).exit_code == 2
    assert [json.loads(line)["value"] for line in file.read_text().splitlines()] == ["j1", "1f"]


def test_key_ring_is_consistent_after_writer_is_killed(tmp_path: Path) -> None:
    """A process that changes keys in a loop is killed at random times. A change written in part would leave
    a ring that can't be read, or one with two signing keys."""
    ring, rng = tmp_path / "ring", Random(3)
    code = (
        "import sys; from pathlib import Path; from hoistplank.authorization.key_ring import KeyRing\n"
        "from hoistplank.authorization.key_lifecycle import KeyEvent\n"
        "ring = KeyRing(Path(sys.argv[1])); n = int(sys.argv[2])\n"
        "while True:\n"
        "    n += 1; kid = f'k{n}'; ring.make(kid, 'EdDSA', n); ring.apply(kid, KeyEvent.PUBLISH, n)\n"
        "    ring.apply(kid, KeyEvent.SIGN, n)\n"
    )
    from hoistplank.authorization.key_ring import KeyRing

    for turn in range(6):
        child = subprocess.Popen([sys.executable, "-c", code, str(ring), str(turn * 1_000)])
        time.sleep(0.6 + rng.random() / 4)
        child.kill()
        child.wait()
        entries = KeyRing(ring).entries()  # raises if a file is incomplete
        assert sum(entry.state == "signing" for entry in entries) <= 1
    assert any(entry.state == "signing" for entry in KeyRing(ring).entries())


def test_redact_removes_secrets_from_log_event() -> None:
    signer = TokenSigner("k1")
    private = private_key_pem(signer.key).decode()
    token = signer.token("coast-1")
    event = redact(
        None,
        "info",
        {
            "event": f"got {token}",
            "wrong": {"deep": [private, {"d": 1}]},
            "n": 5,
            "field": f"Authorization: Bearer {'x' * 20}",
            "raw": private.encode(),
            "jwk": '{"kty":"OKP","d":"' + "A" * 43 + '","x":"pub"}',
            "error": ValueError(token),
        },
    )
    text = repr(event)
    assert token.split(".")[2] not in text and private.split("\n")[1] not in text and "x" * 20 not in text
    assert "A" * 43 not in text and text.count(REDACTED) == 5 and event["n"] == 5


@pytest.mark.parametrize(
    "operator_file, message",
    [
        ("(tenant", "a form that is never closed"),
        ('(callers (revoked "none"))', "can't be read"),
        (
            "(callers (tenant a (rights read) (tracks vidio)))",
            "the traffic class 'vidio', expected one of the settings",
        ),
    ],
)
def test_run_with_invalid_operator_file_exits_before_listening(
    tmp_path: Path, operator_file: str, message: str
) -> None:
    (tmp_path / "op.sexp").write_text(operator_file)
    port = free_port()
    (tmp_path / "c.json").write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"127.0.0.1:{port}",
                "changelog": "127.0.0.1:9",
                "settings": deployment_settings(),
            }
        )
    )
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "hoistplank.cli.main",
            "run",
            "--config",
            str(tmp_path / "c.json"),
            "--operator",
            str(tmp_path / "op.sexp"),
        ],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2 and message in done.stderr and f"{tmp_path}/op.sexp:1:" in done.stderr
    assert done.stdout == ""


def test_log_is_json_with_operator_file_and_optional_libraries_are_not_loaded_without_it(
    tmp_path: Path,
) -> None:
    FakeCertificateAuthority(tmp_path)
    write_key_set(tmp_path / "ring.json", TokenSigner("k1").jwk())
    (tmp_path / "revoked.jsonl").touch()
    (tmp_path / "op.sexp").write_text("(log (format json))\n" + operator_text(free_port(), free_port()))
    (tmp_path / "c.json").write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"127.0.0.1:{free_port()}",
                "changelog": "127.0.0.1:9",
                "settings": deployment_settings(),
            }
        )
    )
    environment = {name: value for name, value in os.environ.items() if not name.startswith("HOISTPLANK")}
    for operator in ("", str(tmp_path / "op.sexp")):
        more = {"EDGE_CONFIG": str(tmp_path / "c.json")} | (
            {"HOISTPLANK_OPERATOR": operator} if operator else {}
        )
        with subprocess.Popen(
            [sys.executable, "-m", "hoistplank"], stdout=subprocess.PIPE, text=True, env=environment | more
        ) as child:
            assert child.stdout is not None
            line = child.stdout.readline()
            maps = Path(f"/proc/{child.pid}/maps").read_text()
            child.terminate()
            rest = child.stdout.read()
        assert child.returncode == 0
        if operator:
            assert all(isinstance(json.loads(row), dict) for row in [line, *rest.splitlines()])
        else:
            assert "event='phase'" in line and not any(
                word in maps for word in ("cryptography", "httptools", "_cffi")
            )


SCRIPT_WITHOUT_LIBRARIES = """
import sys
class MissingLibraryFinder:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in {missing_libraries!r}:
            raise ModuleNotFoundError(f"No module named {{name!r}}", name=name)
sys.meta_path.insert(0, MissingLibraryFinder())
sys.argv = ["hoistplank", *{arguments!r}]
from hoistplank.cli.main import main
main()
"""
LAB, XDS = ["rich", "numpy", "pyarrow", "matplotlib"], ["grpc", "envoy", "google"]
SERVICE = ["lark", "cryptography", "joserfc", "httptools", "hdrh", "google_crc32c"]


def run_without_libraries(missing_libraries: list[str], *arguments: str) -> subprocess.CompletedProcess[str]:
    text = SCRIPT_WITHOUT_LIBRARIES.format(missing_libraries=missing_libraries, arguments=arguments)
    return subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("missing_libraries", "unavailable"),
    [
        pytest.param([*LAB, *XDS], ["control", "lab"], id="demo and service"),
        pytest.param(XDS, ["control"], id="lab"),
        pytest.param([], [], id="complete"),
    ],
)
def test_help_lists_commands_with_missing_libraries_and_what_to_install(
    missing_libraries: list[str], unavailable: list[str]
) -> None:
    result = run_without_libraries(missing_libraries, "--help")
    assert result.returncode == 0, result.stderr
    rows = {
        line.split()[0]: line for line in result.stdout.split("Commands:")[1].splitlines() if line.strip()
    }
    assert {"check", "control", "demo", "lab", "request", "run", "visit"} <= set(rows)
    assert sorted(name for name, line in rows.items() if "needs '" in line) == unavailable
    for name in unavailable:
        called = run_without_libraries(missing_libraries, name, "--anything")
        assert called.returncode == 1 and f"Error: '{name}' needs" in called.stderr
        assert "pip install -r requirements-" in called.stderr


def test_visit_is_an_alias_of_request() -> None:
    assert "Error: no answer from" in call("visit", "127.0.0.1:1", "page").output
    request_help, visit_help = call("request", "--help").output, call("visit", "--help").output
    assert "Send one request" in request_help
    assert request_help.replace(" request ", " visit ", 1) == visit_help


def test_command_line_without_click_says_what_to_install() -> None:
    result = run_without_libraries(["click", *SERVICE, *LAB, *XDS], "--help")
    assert result.returncode == 1 and "Traceback" not in result.stderr
    assert "'click': pip install -r requirements-service.txt" in result.stderr
