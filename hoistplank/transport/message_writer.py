"""The write side of a connection: messages in order, each whole, several in one call."""

from __future__ import annotations

import abc
import asyncio
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

# A peer that takes nothing of a message for this long is as good as gone: the longest deadline and more.
WRITE_STALL_S = 15.0


class ConnectionState(enum.Enum):
    """How far a connection is on its way to its end."""

    OPEN = "open"
    WRITE_SHUT = "write side shut"  # what still comes is read out and discarded
    CLOSED = "closed"


class OutgoingMessage(NamedTuple):
    """One message that waits to be written, and who hears of it."""

    data: bytes
    may_begin: Callable[[], bool] | None  # called just before the first byte; False: the message is left out
    on_written: Callable[[], None] | None  # called once the system has the last byte
    on_deferred: Callable[[], None] | None  # the system took no byte of it: `may_begin` is called again
    encode: Callable[[], bytes] | None = None  # called once it may begin, for its bytes as of then

    def begun(self) -> OutgoingMessage:
        """The message with the bytes that are to be written now."""
        return self if self.encode is None else self._replace(data=self.encode())


class _PartialWrite(NamedTuple):
    rest: memoryview  # the bytes that are still to be written before all else
    messages: list[OutgoingMessage]  # that are written with the last of them


class MessageWriter(abc.ABC):
    """Writes messages to a non-blocking socket.

    What is sent within one turn of the loop goes out in one call. A message is never cut by a later one: one
    that the system takes in part is finished as it takes more, and all else waits for it, and is asked
    whether it may begin when its turn has come.

    sock_sendall does not finish what a first send leaves: where the other side resets the connection in the
    turn in which the last byte went out, it can't be told whether a message is whole at the system, and on
    that hangs whether it may be sent again.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock, self.state = sock, ConnectionState.OPEN
        self.unsent_bytes = 0  # of all messages that the system does not have whole
        self._unsent = deque[OutgoingMessage]()
        self._partial: _PartialWrite | None = None
        self._flush_scheduled = False
        self._awaits_writable = False
        self._is_reading = False  # whether the socket is watched for input
        self._write_stalled_at = 0.0  # when the system last took less than it was given; 0: it took all

    @abc.abstractmethod
    def _end(self, error: BaseException | None) -> None:
        """Ends the connection at once, by `error` or in order."""

    @abc.abstractmethod
    def _update_reading(self) -> None:
        """Begins or ends to read, by what the connection's state and `unsent_bytes` ask for."""

    @abc.abstractmethod
    def _after_write(self) -> None:
        """A write is over; whether nothing is left, `unsent_bytes` tells."""

    def _encode(self, data: bytes) -> bytes:
        """The bytes that go out on the socket for `data`."""
        return data

    def send(
        self,
        data: bytes,
        may_begin: Callable[[], bool] | None = None,
        on_written: Callable[[], None] | None = None,
        on_deferred: Callable[[], None] | None = None,
        encode: Callable[[], bytes] | None = None,
    ) -> None:
        """Writes a message after all that were sent before it; drops it where the connection is not open."""
        if self.state is not ConnectionState.OPEN:
            return
        self._unsent.append(OutgoingMessage(data, may_begin, on_written, on_deferred, encode))
        self.unsent_bytes += len(data)
        if not (self._flush_scheduled or self._awaits_writable):
            self._flush_scheduled = True
            self.loop.call_soon(self._flush)

    def is_write_stalled(self) -> bool:
        """Whether the other side has taken nothing for WRITE_STALL_S."""
        return self._write_stalled_at > 0 and self.loop.time() - self._write_stalled_at > WRITE_STALL_S

    def _stop_writing(self) -> None:
        if self._awaits_writable:
            self.loop.remove_writer(self.sock)
            self._awaits_writable = False

    def _forget_unsent(self) -> None:
        self._partial = None
        self._unsent.clear()
        self.unsent_bytes = 0

    def _flush(self) -> None:
        """Writes all that waits in one call; with a message a call, calls are a sixth of all time."""
        self._flush_scheduled = False
        if self._awaits_writable:
            return  # Danger: written now, it would cut the message that is half with the system
        if self._unsent and self.state is not ConnectionState.CLOSED:
            # What does not begin is left out here, and what begins is with the system at once or asked again:
            # no message is decided on now and handed over later.
            waiting, self._unsent = self._unsent, deque()
            batch = [
                message.begun() for message in waiting if message.may_begin is None or message.may_begin()
            ]
            plain = batch[0].data if len(batch) == 1 else b"".join([message.data for message in batch])
            self.unsent_bytes += len(plain) - sum([len(message.data) for message in waiting])
            data = self._encode(plain)
            try:
                sent = self.sock.send(data) if data else 0
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self._end(error)
                return
            if sent == len(data):
                self._write_stalled_at = 0.0
                self._report_written(batch)
            else:
                self._keep_rest(batch, data, sent, is_plain=data is plain)
        self._after_write()

    def _keep_rest(self, batch: list[OutgoingMessage], data: bytes, sent: int, *, is_plain: bool) -> None:
        """The system took `sent` bytes of a batch: what it has whole is written, what it has begun is
        finished first.

        Danger: a message of which it has no byte, kept to be handed over later, would begin then without
        being asked again, at a host that drains by now or for a client that has gone. Encrypted bytes can't
        be taken apart: there the whole batch has begun.
        """
        whole_count, whole_bytes = 0, 0
        while is_plain and whole_count < len(batch) and whole_bytes + len(batch[whole_count].data) <= sent:
            whole_bytes += len(batch[whole_count].data)
            whole_count += 1
        whole, rest = batch[:whole_count], batch[whole_count:]
        if whole or not self._write_stalled_at:
            self._write_stalled_at = self.loop.time()
        begun = rest[: int(whole_bytes < sent)] if is_plain else rest
        deferred = rest[len(begun) :]
        for message in deferred:
            if message.on_deferred is not None:
                message.on_deferred()
        self._unsent.extendleft(reversed(deferred))
        self._report_written(whole)
        if self.state is ConnectionState.CLOSED:
            return
        if begun:
            end = whole_bytes + len(begun[0].data) if is_plain else len(data)
            self._partial = _PartialWrite(memoryview(data)[sent:end], begun)
        self._awaits_writable = True
        self.loop.add_writer(self.sock, self._continue_write)

    def _continue_write(self) -> None:
        """The system takes more: the rest of what is cut goes before all else."""
        if self._partial is not None:
            rest, messages = self._partial
            try:
                sent = self.sock.send(rest)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._end(error)
                return
            if sent < len(rest):
                self._partial = _PartialWrite(rest[sent:], messages)
                return
            self._write_stalled_at, self._partial = 0.0, None
            self._report_written(messages)
        if self.state is not ConnectionState.CLOSED:
            self._stop_writing()
            self._flush()

    def _report_written(self, messages: list[OutgoingMessage]) -> None:
        self.unsent_bytes -= sum([len(message.data) for message in messages])
        for message in messages:
            if message.on_written is not None:
                message.on_written()
        if not self._is_reading:
            self._update_reading()
