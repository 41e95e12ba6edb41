"""Proofs that a request was not delivered, compared with what the system has really taken."""

from __future__ import annotations

import asyncio
import errno
import os
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.list_confirmation import ListConfirmation
from hoistplank.decision.process_identity import ProcessIdentity
from hoistplank.decision.retries import NEVER_RAN
from hoistplank.protocol.cachewire import Answer
from hoistplank.routing.attempt_ending import (
    ENDING_OF_STATUS,
    ENDING_OF_UNDELIVERED,
    OUTCOMES,
    AttemptEnd,
    AttemptEnding,
)
from hoistplank.routing.attempts import Attempt
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.pooled_request import RequestFailure
from hoistplank.transport.transmission import (
    Transmission,
    TransmissionState,
    Undelivered,
    UndeliveredReason,
)
from tests.scene_runner import run_scene

REASON = UndeliveredReason.NOT_WRITTEN


def transmission_in(state: TransmissionState) -> Transmission:
    transmission = Transmission()
    transmission.state = state
    return transmission


@pytest.mark.parametrize("state", TransmissionState)
def test_only_a_transmission_that_was_not_begun_is_withdrawn(state: TransmissionState) -> None:
    transmission = transmission_in(state)
    proof = transmission.withdraw(REASON)
    assert (proof is not None) == (state in (TransmissionState.WAITING, TransmissionState.VOID))
    assert transmission.state is (TransmissionState.VOID if proof is not None else state)


@pytest.mark.parametrize("state", TransmissionState)
def test_end_of_a_connection_proves_nothing_of_a_whole_request(state: TransmissionState) -> None:
    proof = transmission_in(state).connection_ended(REASON)
    assert (proof is None) == (state in (TransmissionState.SENDING, TransmissionState.WRITTEN))


@pytest.mark.parametrize(
    "state", [state for state in TransmissionState if state is not TransmissionState.WAITING]
)
def test_transmission_begins_once_and_never_after_a_proof(state: TransmissionState) -> None:
    with pytest.raises(RuntimeError, match="can't become sending"):
        transmission_in(state).begin()


STEPS_FROM = {
    "not_taken": {TransmissionState.SENDING},
    "partly_taken": {TransmissionState.SENDING},
    "taken": {TransmissionState.SENDING, TransmissionState.PARTLY_WRITTEN},
}


@pytest.mark.parametrize("state", TransmissionState)
@pytest.mark.parametrize("step", STEPS_FROM)
def test_report_of_the_writer_that_comes_late_changes_no_proof(step: str, state: TransmissionState) -> None:
    transmission = transmission_in(state)
    report = getattr(transmission, step)
    if state in STEPS_FROM[step]:
        report()
        return
    with pytest.raises(RuntimeError, match="can't become"):
        report()
    assert transmission.state is state


@pytest.mark.parametrize(
    "state", [state for state in TransmissionState if state is not TransmissionState.VOID]
)
def test_proof_is_not_made_of_a_transmission_that_is_not_void(state: TransmissionState) -> None:
    with pytest.raises(ValueError, match="proves nothing"):
        Undelivered(transmission_in(state), REASON)


@pytest.mark.parametrize("ending", AttemptEnding)
def test_attempt_does_not_end_as_never_run_without_a_proof(ending: AttemptEnding) -> None:
    if OUTCOMES[ending] in NEVER_RAN:
        with pytest.raises(ValueError, match="without a proof"):
            AttemptEnd(ending)
    else:
        assert AttemptEnd(ending).outcome == OUTCOMES[ending]


@pytest.mark.parametrize("ending", [ending for ending in AttemptEnding if OUTCOMES[ending] in NEVER_RAN])
def test_attempt_does_not_end_as_never_run_by_evidence_of_another_end(ending: AttemptEnding) -> None:
    for status, ending_of_answer in ENDING_OF_STATUS.items():
        if ending_of_answer is not ending:
            with pytest.raises(ValueError, match="without a proof"):
                AttemptEnd(ending, answer=Answer("1", status, {}, b""))
    for reason, ending_of_proof in ENDING_OF_UNDELIVERED.items():
        if ending_of_proof is not ending:
            with pytest.raises(ValueError, match="without a proof"):
                AttemptEnd(ending, proof=Transmission().withdraw(reason))


def test_proof_of_one_attempt_does_not_end_another() -> None:
    async def scene() -> None:
        owner: Any = SimpleNamespace(standstills=SimpleNamespace(count=0))
        request: Any = SimpleNamespace(id="1")
        action = SendAttempt("1", 0, "c", "", 1_000_000, 0, 0, join_fill=False)
        attempt = Attempt(owner, request, action, 0, lambda waited_us: b"")
        proof = Transmission().withdraw(REASON)
        assert proof is not None
        with pytest.raises(ValueError, match="is of another"):
            attempt.undelivered(proof)
        assert attempt.end is None

    run_scene(scene())


class ScriptedSocket:
    """A socket whose `send` takes as many bytes as its script says, or raises; then it would block."""

    def __init__(self, sock: Any, script: list[int | str]) -> None:
        self.sock, self.script, self.taken = sock, list(script), b""

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def send(self, data: bytes) -> int:
        step = self.script.pop(0) if self.script else "EAGAIN"
        if step == "EAGAIN":
            raise BlockingIOError
        if isinstance(step, str):
            raise OSError(getattr(errno, step), os.strerror(getattr(errno, step)))
        taken = min(step, len(data))
        self.taken += bytes(data[:taken])
        return taken


class TracedRequest:
    """A request of some bytes that records how it ended."""

    def __init__(self, number: int, size: int) -> None:
        self.id, self.message = f"{number:016x}", bytes([number]) * size
        self.transmission = Transmission()
        self.ends: list[str] = []
        self.is_in_window = True

    def may_begin(self) -> bool:
        return True

    def may_continue(self) -> bool:
        return self.is_in_window

    def encode(self) -> bytes:
        return self.message

    def undelivered(self, proof: Undelivered) -> None:
        self.ends.append("undelivered")

    def failed(self, failure: RequestFailure) -> None:
        self.ends.append("may have run")


class LonePool:
    """The pool of one connection."""

    connect_timeout_s = 1.0
    remember_ids_s = 3.0

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.identity = ProcessIdentity(ListConfirmation(0))

    def now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def make_reader(self, pooled: PooledConnection) -> Any:
        return lambda buffer, start, end: end

    def report_error(self, host: str, error: BaseException) -> None:
        raise error

    def connection_lost(self) -> None: ...

    def discard(self, pooled: PooledConnection) -> None: ...

    def connection_ended(self) -> None: ...


STEPS = st.one_of(st.integers(1, 300), st.sampled_from(["EAGAIN", "ECONNRESET", "EPIPE", "ENOBUFS"]))


@settings(max_examples=150, deadline=None)
@given(
    sizes=st.lists(st.integers(1, 120), min_size=1, max_size=6),
    script=st.lists(STEPS, max_size=8),
    cancelled=st.sets(st.integers(0, 5), max_size=3),
    cancel_after=st.integers(0, 4),
    window_ends_after=st.integers(0, 12),
)
def test_end_of_each_request_agrees_with_the_bytes_that_the_system_took(
    sizes: list[int], script: list[int | str], cancelled: set[int], cancel_after: int, window_ends_after: int
) -> None:
    """Short writes, failing calls, cancellations and a window's end, with several messages in one call."""

    async def scene() -> None:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        pooled = PooledConnection(LonePool(), "o", server.sockets[0].getsockname())
        while pooled.connection is None or not pooled.connection._is_reading:
            await asyncio.sleep(0)
        connection = pooled.connection
        real, scripted = connection.sock, ScriptedSocket(connection.sock, script)
        connection.sock = scripted  # type: ignore[assignment]
        requests = [TracedRequest(number, size) for number, size in enumerate(sizes)]
        proofs: dict[int, Undelivered | None] = {}
        for request in requests:
            pooled.send(request)
        for step in range(len(script) + 3):
            if step == cancel_after:
                for number in sorted(cancelled & set(range(len(requests)))):
                    proofs[number] = pooled.cancel(requests[number], b"", 0.0, REASON)
            for request in requests:
                request.is_in_window = step < window_ends_after
            connection._flush()
            if connection._is_awaiting_writable:
                is_partly_written = connection._partial is not None
                taken = len(scripted.taken)
                connection._continue_write()
                if is_partly_written and step >= window_ends_after:
                    assert len(scripted.taken) == taken and connection.is_closed
        connection.close()
        connection.sock = real
        await asyncio.gather(pooled.task, return_exceptions=True)
        await asyncio.sleep(0)
        server.close()
        for number, request in enumerate(requests):
            is_whole = scripted.taken.count(request.message[:1]) == len(request.message)
            if number in proofs:
                assert not (is_whole and proofs[number] is not None)
                assert not request.ends
            else:
                assert request.ends == (["may have run"] if is_whole else ["undelivered"])

    run_scene(scene())
