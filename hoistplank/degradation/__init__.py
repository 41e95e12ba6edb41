"""Levels of reduced service, the admission that follows what the core carries, and the readings behind
both.

The decision logic (`signals`, `ladder`, `admission`, `effects`) has no I/O and no clock; `service` runs them
in a dispatcher, `forms` is its part of the operator's file. docs/levels.md is the design note.
"""
