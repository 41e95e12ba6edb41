"""The command line as an operator uses it: exit codes, files, and what the log never shows."""

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


def call(*words: str, text: str = "") -> Result:
    return CliRunner().invoke(main, [*words], input=text)


def test_the_file_of_the_repository_is_good_and_laid_out() -> None:
    file = str(Path(__file__).parents[1] / "deploy" / "operator.sexp")
    assert (call("check", file).exit_code, call("fmt", "--check", file).exit_code) == (0, 0)


def test_check_and_fmt_tell_faults_and_leave_a_broken_file_alone(tmp_path: Path) -> None:
    file = tmp_path / "op.sexp"
    file.write_text("(callers (tokens (skew 9)))")
    told = call("check", "--json", str(file))
    row = json.loads(told.stdout)
    assert (told.exit_code, row["line"], row["column"], row["found"]) == (2, 1, 24, "'9'")
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


def test_a_change_of_keys_by_hand(tmp_path: Path) -> None:
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
    told = call("token", "show", "--json", text=call(*words).stdout)
    assert json.loads(told.stdout)["kid"] == "new" and call("token", "show", text="x.y").exit_code == 2
    (tmp_path / "ring" / "new.pem").chmod(0o640)
    assert call(*words).exit_code == 2


def test_revocations_are_appended_whole(tmp_path: Path) -> None:
    file = tmp_path / "revoked.jsonl"
    assert call("revoke", "jti", "j1", "--issuer", "i", "--file", str(file)).exit_code == 0
    assert call("revoke", "serial", "1f", "--days", "30", "--file", str(file)).exit_code == 2
    assert call("revoke", "serial", "1f", "--until", "30", "--file", str(file)).exit_code == 0
    assert call("revoke", "jti", "j1", "--file", str(file)).exit_code == 2
    assert [json.loads(line)["value"] for line in file.read_text().splitlines()] == ["j1", "1f"]


def test_a_writer_killed_at_any_moment_leaves_a_whole_ring(tmp_path: Path) -> None:
    """Key changes in a loop in a process of their own, killed again and again: each look finds a whole
    set."""
    ring, chance = tmp_path / "ring", Random(3)
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
        time.sleep(0.6 + chance.random() / 4)
        child.kill()
        child.wait()
        entries = KeyRing(ring).entries()  # raises where anything is not whole
        assert sum(entry.state == "signing" for entry in entries) <= 1
    assert any(entry.state == "signing" for entry in KeyRing(ring).entries())


def test_no_secret_reaches_a_line() -> None:
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
    "spoil, told",
    [
        ("(tenant", "a form that is never closed"),
        ('(callers (revoked "none"))', "can't be read"),
        (
            "(callers (tenant a (rights read) (tracks vidio)))",
            "the traffic class 'vidio', expected one of the settings",
        ),
    ],
)
def test_a_file_that_can_t_be_used_ends_the_start_before_anything_listens(
    tmp_path: Path, spoil: str, told: str
) -> None:
    (tmp_path / "op.sexp").write_text(spoil)
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
    assert done.returncode == 2 and told in done.stderr and f"{tmp_path}/op.sexp:1:" in done.stderr
    assert done.stdout == ""


def test_json_lines_and_a_light_start(tmp_path: Path) -> None:
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


LACKING = """
import sys
class Gone:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in {lacks!r}:
            raise ModuleNotFoundError(f"No module named {{name!r}}", name=name)
sys.meta_path.insert(0, Gone())
sys.argv = ["hoistplank", *{words!r}]
from hoistplank.cli.main import main
main()
"""
LAB, XDS = ["rich", "numpy", "pyarrow", "matplotlib"], ["grpc", "envoy", "google"]
SERVICE = ["lark", "cryptography", "joserfc", "httptools", "hdrh", "google_crc32c"]


def without(lacks: list[str], *words: str) -> subprocess.CompletedProcess[str]:
    text = LACKING.format(lacks=lacks, words=words)
    return subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("lacks", "noted"),
    [
        pytest.param([*LAB, *XDS], ["control", "lab"], id="the demo's and the service's install"),
        pytest.param(XDS, ["control"], id="the laboratory's install"),
        pytest.param([], [], id="all of it"),
    ],
)
def test_the_help_lists_what_lacks_its_libraries_with_what_to_install(
    lacks: list[str], noted: list[str]
) -> None:
    told = without(lacks, "--help")
    assert told.returncode == 0, told.stderr
    rows = {line.split()[0]: line for line in told.stdout.split("Commands:")[1].splitlines() if line.strip()}
    assert {"check", "control", "demo", "lab", "request", "run", "visit"} <= set(rows)
    assert sorted(name for name, line in rows.items() if "needs '" in line) == noted
    for name in noted:
        called = without(lacks, name, "--anything")
        assert called.returncode == 1 and f"Error: '{name}' needs" in called.stderr
        assert "pip install -r requirements-" in called.stderr


def test_visit_is_another_name_of_request() -> None:
    assert "Error: no answer from" in call("visit", "127.0.0.1:1", "page").output
    request_help, visit_help = call("request", "--help").output, call("visit", "--help").output
    assert "Send one request" in request_help
    assert request_help.replace(" request ", " visit ", 1) == visit_help


def test_the_bare_install_says_what_the_command_line_needs() -> None:
    told = without(["click", *SERVICE, *LAB, *XDS], "--help")
    assert told.returncode == 1 and "Traceback" not in told.stderr
    assert "'click': pip install -r requirements-service.txt" in told.stderr
