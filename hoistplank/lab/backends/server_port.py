"""A simulated server's listening port on loopback, one for each dispatcher that reaches it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.fakes.deployment import reserve_port
from hoistplank.lab.model.objects import purge_group_of
from hoistplank.lab.model.server_request import OnComplete, ServerRequest
from hoistplank.lab.model.servers import Server
from hoistplank.lab.model.world_settings import HUB

if TYPE_CHECKING:
    from hoistplank.lab.backends.socket_dispatcher import SocketDispatcher
    from hoistplank.lab.backends.sockets import SocketDay


BODY = b"o" * 64


WIRE_STATUS = {
    Outcome.MISS: "not_here",
    Outcome.OVERLOADED: "overload",
    Outcome.ERROR: "crashed",
}


WIRE_DETAIL = {
    CacheStatus.HIT: "hit",
    CacheStatus.FILLED: "filled",
    CacheStatus.FROM_ORIGIN: "via_origin",
    CacheStatus.JOINED: "joined",
    CacheStatus.STALE: "stale",
    CacheStatus.SOURCE_REFUSED: "src_refused",
    CacheStatus.SOURCE_UNREACHABLE: "src_broke",
    CacheStatus.SOURCE_MISS: "src_lacks",
    CacheStatus.NOT_STORED: "no_slot",
    CacheStatus.ORIGIN_UNREACHABLE: "origin_failed",
}


class ServerPort:
    """A server's listening port for one dispatcher, closed while its process is gone."""

    def __init__(self, day: SocketDay, dispatcher: SocketDispatcher, server: Server) -> None:
        self.day, self.dispatcher, self.server, self.port = day, dispatcher, server, 0
        self.listening: asyncio.Server | None = None
        self.reservation: socket.socket | None = None  # holds the port while the process is gone
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def open(self) -> None:
        """Listens on the port, which stays the same across `close` and `open`."""
        if self.reservation is None:
            self.reservation = reserve_port()
            self.port = int(self.reservation.getsockname()[1])
        self.listening = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", self.port, reuse_port=True
        )

    def close(self) -> None:
        """Refuses new connections and resets the open ones, as the end of a process does."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for writer in list(self.writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            # The kernel resets the connections of a killed process instead of closing them in order.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        open_requests: dict[str, ServerRequest] = {}
        try:
            while words := (await reader.readline()).decode().split():
                self.day.advance()
                if words[0] == "GET":
                    await reader.readexactly(int(words[3]) + 2)
                    self._get(
                        words[1], dict(p.split("=", 1) for p in words[2].split(",")), writer, open_requests
                    )
                elif words[0] == "DROP" and words[1] in open_requests:
                    self.server.cancel(open_requests.pop(words[1]))
                elif words[0] in ("PING", "LOAD") and self.server.phase == "up":
                    writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the peer closed the connection, or the day has ended
        finally:
            for server_request in open_requests.values():
                self.server.cancel(server_request)
            self.writers.pop(writer, None)
            writer.close()

    def _get(
        self,
        request_id: str,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        open_requests: dict[str, ServerRequest],
    ) -> None:
        world, now = self.day.world, self.day.world.events.now
        server_request: ServerRequest

        def end(result: int, note: int, created: int) -> None:
            open_requests.pop(request_id, None)
            self._end(request_id, server_request, now, writer, result, note, created)

        server_request = self._server_request(request_id, fields, end)
        source = server_request.source
        drains = world.rules.drains
        drains.attempt(now, self.dispatcher.number, self.server.uid, "host")
        if source not in ("", self.server.uid):
            drains.attempt(now, self.dispatcher.number, source, "source")
        open_requests[request_id] = server_request
        world.events.schedule(now + server_request.return_delay_us, self.server.arrive, server_request)

    def _server_request(self, request_id: str, fields: dict[str, str], end: OnComplete) -> ServerRequest:
        """Returns the request that the fields of a cache wire message describe."""
        world = self.day.world
        class_index, object_key = self.day.classes[fields["queue"]], fields["path"]
        number = int(object_key, 16)
        size_us = world.catalog.size_kb(class_index, number) / world.settings.transfer_kb_s * 1e6
        server_request = ServerRequest(
            self.dispatcher.number,
            self.dispatcher.zone,
            class_index,
            (object_key, int(fields.get("blk", "0"))),
            purge_group_of(number, world.settings),
            size_us,
            end,
        )
        uncached = world.settings.classes[class_index].uncached
        server_request.source = fields.get("parent", "") or ("" if uncached else self.server.uid)
        server_request.idempotency_key = fields.get("uniq", "") or request_id[:12]
        server_request.cache_rank = int(fields.get("shelf", "0"))
        server_request.max_age_us = int(fields.get("accept", "0")) * 1_000
        hints = fields.get("hints", "").split("+")
        server_request.may_join = "wait-for" in hints
        server_request.may_renew = "background" in hints
        if self.server.zone == HUB:
            server_request.return_delay_us = world.settings.hub_delay_us
            server_request.extra_links = [world.zone_links[self.dispatcher.zone]]
        return server_request

    def _end(
        self,
        request_id: str,
        server_request: ServerRequest,
        sent: int,
        writer: asyncio.StreamWriter,
        result: int,
        note: int,
        created: int,
    ) -> None:
        world = self.day.world
        if writer.is_closing():
            return
        if result in (Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED):
            self._reset(writer)
            return
        detail = f"detail={WIRE_DETAIL[note]}" if note in WIRE_DETAIL else "-"
        if result == Outcome.CONNECTION_SPOILED:
            writer.write(f"{request_id} served detail= {len(BODY)}\r\n".encode() + BODY)
        elif result == Outcome.SUCCEEDED:
            if not world.settings.classes[server_request.class_index].uncached:
                world.rules.purges.served(
                    world.events.now,
                    self.dispatcher.number,
                    request_id,
                    server_request.cache_key[0],
                    server_request.group,
                    sent,
                    created,
                )
            self.dispatcher.cache_statuses[request_id] = note
            dated = self.day.unix_ms(created - self.dispatcher.skew_us)
            digest = server_request.cache_key[0][:8]
            head = f"{request_id} served {detail},digest={digest},dated={dated} {len(BODY)}\r\n"
            writer.write(head.encode() + BODY + b"\r\n")
        else:
            writer.write(f"{request_id} {WIRE_STATUS.get(result, 'crashed')} {detail} 0\r\n\r\n".encode())
