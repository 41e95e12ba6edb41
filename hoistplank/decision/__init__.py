"""The decision logic: events in, actions out, with no I/O, no clock and no randomness of its own.

`router.Router` is the entry point. Each of the other modules owns one concern and its state.
"""
