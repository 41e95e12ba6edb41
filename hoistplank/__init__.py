"""A request router for caches that fill from parent caches and an origin.

`choice` makes every decision, `interface` has the types that pass between it and a host program; the
packages around them hold the sockets, the protocols and the optional subsystems. docs/architecture.md draws
the layers.
"""
