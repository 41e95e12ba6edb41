"""The decision logic: events in, actions out, with no I/O, no clock and no randomness of its own.

`router.Router` is the way in. Each of the other modules owns one concern and the state that goes with it.
"""
