"""The requests that are open, or have attempts in flight, by their id."""

from __future__ import annotations

from hoistplank.routing.attempts import Request


class RequestTable:
    """Each request from its arrival until it is closed and none of its attempts is in flight.

    Danger: an id that is used again before that would have the ends of old attempts taken for its own.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.open_count = 0  # those that are not closed

    def add(self, request: Request) -> bool:
        """Takes a request in; False, and nothing is done, where its id is in use."""
        if request.id in self.by_id:
            return False
        self.by_id[request.id] = request
        self.open_count += 1
        return True

    def holds(self, request: Request) -> bool:
        """Whether it is this very request that stands under its id."""
        return self.by_id.get(request.id) is request

    def close(self, request: Request) -> None:
        """Its client has had its answer, or is gone."""
        request.is_closed = True
        request.body = b""
        self.open_count -= 1
        self.forget_if_over(request)

    def forget_if_over(self, request: Request) -> None:
        """Frees the id of a request that is closed with none of its attempts in flight."""
        if request.is_closed and not request.attempts and self.holds(request):
            del self.by_id[request.id]

    def open_requests(self) -> list[Request]:
        """Those that are not closed, in the order of their arrival."""
        return [request for request in self.by_id.values() if not request.is_closed]

    def fail_all(self) -> None:
        """Fails what is open and forgets everything: the router has broken, and nobody will decide on it."""
        for request in self.open_requests():
            request.is_closed = True
            request.response.fail()
        self.by_id.clear()
