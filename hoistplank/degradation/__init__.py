"""Graceful degradation: levels of reduced service, admission control by the loop's lag, and their signals.

Decision logic, without I/O or clock: `signals`, `readings`, `observer`, `conditions`, `levels`, `damping`,
`state_machine`, `admission`. `sections` is the section of the operator's file, `settings` what is made of
it, `status` the report for operators, and `service` runs it all in a dispatcher. `docs/levels.md` is the
design note.
"""
