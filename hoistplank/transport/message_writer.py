"""The write side of a connection: messages are written in order, each whole, several in one system call."""

from __future__ import annotations

import abc
import asyncio
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

# A peer that takes no whole message for this long counts as gone; longer than the longest deadline.
WRITE_STALL_S = 15.0
MESSAGE_BYTES = 256  # of a waiting message beside its data


class ConnectionState(enum.Enum):
    """The stages of closing a connection."""

    OPEN = "open"
    WRITE_SHUT = "write side shut"  # further input is read and discarded
    CLOSED = "closed"


class OutgoingMessage(NamedTuple):
    """A message that waits to be written, with its callbacks."""

    data: bytes = b""
    may_begin: Callable[[], bool] | None = None  # called just before the first byte; False: it is dropped
    on_written: Callable[[], None] | None = None  # called once the kernel has taken the last byte
    on_deferred: Callable[[], None] | None = None  # the kernel took no byte; `may_begin` will be called again
    encode: Callable[[], bytes] | None = None  # called after `may_begin`; returns the bytes to write
    on_partly_written: Callable[[], None] | None = None  # the kernel took the first bytes, and not the last
    may_continue: Callable[[], bool] | None = None  # called before its rest; False: the connection is ended

    def with_encoded_data(self) -> OutgoingMessage:
        """Returns the message with the bytes that are to be written now."""
        return self if self.encode is None else self._replace(data=self.encode())


class _PartialWrite(NamedTuple):
    remaining: memoryview  # bytes that have to be written before any other message
    messages: list[OutgoingMessage]  # messages that are complete once `remaining` is written


class MessageWriter(abc.ABC):
    """Writes messages to a non-blocking socket.

    Messages sent within one iteration of the event loop go out in one call. A message that the kernel takes
    in part is finished before any other; the messages behind it wait, and their `may_begin` is called when
    they are next.

    The loop's sock_sendall is not used to finish a partial write: if the peer resets the connection in the
    iteration in which the last byte is written, it does not tell whether the kernel had taken the whole
    message, which decides whether the message may be sent again.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock, self.state = sock, ConnectionState.OPEN
        self.unsent_bytes = 0  # of all messages that the kernel has not taken completely
        self._unsent = deque[OutgoingMessage]()
        self._partial: _PartialWrite | None = None
        self._is_flush_scheduled = False
        self._is_awaiting_writable = False
        self._is_reading = False  # whether the socket is watched for input
        self._write_stalled_at = 0.0  # since when no message has been completed; 0: no write is pending

    @abc.abstractmethod
    def _end(self, error: BaseException | None) -> None:
        """Ends the connection at once; `error` is the cause, or None."""

    @abc.abstractmethod
    def _update_reading(self) -> None:
        """Starts or stops watching for input, depending on the state and `unsent_bytes`."""

    @abc.abstractmethod
    def _after_write(self) -> None:
        """Called after each write; `unsent_bytes` is 0 if nothing is left."""

    def _encode(self, data: bytes) -> bytes:
        """Returns the bytes to write to the socket for `data`."""
        return data

    def send(
        self,
        data: bytes,
        may_begin: Callable[[], bool] | None = None,
        on_written: Callable[[], None] | None = None,
        on_deferred: Callable[[], None] | None = None,
    ) -> None:
        """Queues a message of these bytes; see `send_message`."""
        self.send_message(OutgoingMessage(data, may_begin, on_written, on_deferred))

    def send_message(self, message: OutgoingMessage) -> None:
        """Queues a message behind those sent before it; drops it if the connection is not open."""
        if self.state is not ConnectionState.OPEN:
            return
        self._unsent.append(message)
        self.unsent_bytes += len(message.data)
        if not (self._is_flush_scheduled or self._is_awaiting_writable):
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush)

    def held_output_bytes(self) -> int:
        """Returns the memory that the messages take which the kernel has not taken completely."""
        return self.unsent_bytes + MESSAGE_BYTES * len(self._unsent)

    def is_write_stalled(self) -> bool:
        """True if a write has been pending for WRITE_STALL_S without completing a message."""
        return self.write_stalled_s(self.loop.time()) > WRITE_STALL_S

    def write_stalled_s(self, now: float) -> float:
        """Returns for how long a write has been pending without completing a message, 0 if none is."""
        return now - self._write_stalled_at if self._write_stalled_at > 0 else 0.0

    def _stop_writing(self) -> None:
        if self._is_awaiting_writable:
            self.loop.remove_writer(self.sock)
            self._is_awaiting_writable = False

    def _discard_unsent(self) -> None:
        self._partial = None
        self._unsent.clear()
        self.unsent_bytes = 0

    def _flush(self) -> None:
        """Writes all waiting messages in one system call: with a call for each, calls took a sixth of all
        time."""
        self._is_flush_scheduled = False
        if self._is_awaiting_writable:
            return  # a write now would go into the middle of a partly written message
        if self._unsent and self.state is not ConnectionState.CLOSED:
            # A message that may not begin is dropped here. One that may is given to the kernel at once, or
            # its `may_begin` is called again: no message is approved now and written later.
            waiting, self._unsent = self._unsent, deque()
            batch = [
                message.with_encoded_data()
                for message in waiting
                if message.may_begin is None or message.may_begin()
            ]
            plain = batch[0].data if len(batch) == 1 else b"".join([message.data for message in batch])
            self.unsent_bytes += len(plain) - sum([len(message.data) for message in waiting])
            data = self._encode(plain)
            try:
                sent = self.sock.send(data) if data else 0
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                _report_deferred(batch)  # a call that fails has taken nothing
                self._end(error)
                return
            if sent == len(data):
                self._write_stalled_at = 0.0
                self._report_written(batch)
            else:
                self._handle_partial_write(batch, data, sent, is_plain=data is plain)
        self._after_write()

    def _handle_partial_write(
        self, batch: list[OutgoingMessage], data: bytes, sent: int, *, is_plain: bool
    ) -> None:
        """Handles a write of which the kernel took only `sent` bytes: reports the complete messages as
        written, keeps the rest of the message that has begun, and puts the others back into the queue.

        A message of which the kernel has no byte goes back, because `may_begin` has to be called again:
        meanwhile its host may begin to drain or its client may disconnect. Encrypted bytes can't be split
        into messages, so the whole batch counts as begun.
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
        _report_deferred(deferred)
        self._unsent.extendleft(reversed(deferred))
        if is_plain and begun and begun[0].on_partly_written is not None:
            begun[0].on_partly_written()
        self._report_written(whole)
        if self.state is ConnectionState.CLOSED:
            return
        if begun:
            end = whole_bytes + len(begun[0].data) if is_plain else len(data)
            self._partial = _PartialWrite(memoryview(data)[sent:end], begun)
        self._is_awaiting_writable = True
        self.loop.add_writer(self.sock, self._continue_write)

    def _continue_write(self) -> None:
        """Called when the socket is writable again: finishes the partial message, then writes the others."""
        if self._partial is not None:
            remaining, messages = self._partial
            if not all(message.may_continue is None or message.may_continue() for message in messages):
                self._end(None)
                return
            try:
                sent = self.sock.send(remaining)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._end(error)
                return
            if sent < len(remaining):
                self._partial = _PartialWrite(remaining[sent:], messages)
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


def _report_deferred(messages: list[OutgoingMessage]) -> None:
    """Reports that the kernel has taken no byte of these messages."""
    for message in messages:
        if message.on_deferred is not None:
            message.on_deferred()
