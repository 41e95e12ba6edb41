"""What the kernel tells of a TCP connection beside its bytes: `struct tcp_info` of tcp(7), and FIONREAD."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios

# `tcpi_state`, the first byte of `struct tcp_info`, and its values once the peer has closed or reset.
TCP_STATE_BYTES = 1
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
# Offset of `tcpi_last_data_recv` (ms): eight single bytes and eleven 32-bit fields precede it.
LAST_DATA_RECEIVED_OFFSET = 8 + 11 * 4
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4
FIONREAD_BYTES = 4  # the size of the integer that FIONREAD writes


def has_peer_left(sock: socket.socket) -> bool:
    """Returns whether the peer has closed the connection, also with input before that which is unread; False
    if the kernel does not report that."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)
    except OSError:
        return False
    return len(info) == TCP_STATE_BYTES and info[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def last_arrival_age_us(sock: socket.socket) -> int:
    """Returns the time since the kernel received the peer's last bytes, read or not, or 0 if it does not
    report that."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < TCP_INFO_BYTES:
        return 0
    return int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:TCP_INFO_BYTES], sys.byteorder) * 1_000


def has_unread_input(sock: socket.socket) -> bool:
    """Returns whether the kernel holds input that is not read yet; False if it does not report that."""
    try:
        unread = fcntl.ioctl(sock, termios.FIONREAD, bytes(FIONREAD_BYTES))
    except OSError:
        return False
    return int.from_bytes(unread, sys.byteorder) > 0
