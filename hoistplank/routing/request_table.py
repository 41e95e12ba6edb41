"""Table of the requests that are open or have attempts in flight, by request id."""

from __future__ import annotations

from hoistplank.routing.attempts import Request


class RequestTable:
    """Holds each request from its arrival until it is closed and none of its attempts is in flight.

    If an id were reused before that, endings of old attempts would be attributed to the new request.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.open_count = 0  # requests in the table that are not closed

    def add(self, request: Request) -> bool:
        """Adds a request; returns False and changes nothing if its id is in use."""
        if request.id in self.by_id:
            return False
        self.by_id[request.id] = request
        self.open_count += 1
        return True

    def contains(self, request: Request) -> bool:
        """Returns whether this request, and no other with its id, is in the table."""
        return self.by_id.get(request.id) is request

    def close(self, request: Request) -> None:
        """Marks a request as closed: it has been answered, or its client left."""
        request.is_closed = True
        request.body = b""
        self.open_count -= 1
        self.remove_if_finished(request)

    def remove_if_finished(self, request: Request) -> None:
        """Removes a request and frees its id if it is closed and none of its attempts is in flight."""
        if request.is_closed and not request.attempts and self.contains(request):
            del self.by_id[request.id]

    def open_requests(self) -> list[Request]:
        """Returns the requests that are not closed, in order of arrival."""
        return [request for request in self.by_id.values() if not request.is_closed]

    def fail_all(self) -> None:
        """Fails all open requests and clears the table, after the Router raised an exception."""
        for request in self.open_requests():
            request.is_closed = True
            request.response.fail()
        self.by_id.clear()
