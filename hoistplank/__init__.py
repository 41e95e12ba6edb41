"""A request router for caches that fill from parent caches and an origin.

`decision` makes every routing decision; its `events` and `actions` are the types that pass between it and the
program around it. The other packages hold the sockets, the protocols and the optional subsystems.
docs/architecture.md shows the layers.
"""
