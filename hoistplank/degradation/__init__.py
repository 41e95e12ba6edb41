"""Graceful degradation: levels of reduced service, their signals, and admission control by event loop lag.

Decision logic without I/O or clock: `signals`, `readings`, `observer`, `conditions`, `levels`, `damping`,
`state_machine` and `admission`. `sections` parses the section of the operator file into `settings`, `status`
is the report for operators, and `service` runs the package in a dispatcher. `docs/levels.md` is the design
note.
"""
