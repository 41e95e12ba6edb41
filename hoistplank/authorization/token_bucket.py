"""A token bucket. No I/O, no clock: `now` is whole microseconds that never run back."""

from __future__ import annotations


class TokenBucket:
    """A bucket that gains `rate` tokens a second and holds at most `burst`."""

    __slots__ = ("_updated_us", "burst", "rate", "tokens")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.tokens, self._updated_us = rate, burst, burst, now

    def _refill(self, now: int) -> None:
        if now > self._updated_us:
            self.tokens = min(self.burst, self.tokens + (now - self._updated_us) * self.rate / 1e6)
            self._updated_us = now

    def take(self, now: int) -> int:
        """Takes a token and returns 0, or returns the microseconds until one is available."""
        self._refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0
        return int((1.0 - self.tokens) / self.rate * 1e6) + 1

    def refund(self) -> None:
        """Returns a token that was taken and not used."""
        self.tokens += 1.0

    def available(self, now: int) -> float:
        """Returns the number of tokens in the bucket."""
        self._refill(now)
        return self.tokens

    def reconfigure(self, rate: float, burst: float, now: int) -> None:
        """Changes rate and burst; tokens that were used stay used."""
        self._refill(now)
        self.tokens = min(burst, self.tokens + max(0.0, burst - self.burst))
        self.rate, self.burst = rate, burst
