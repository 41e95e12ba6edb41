"""Which cache hosts there are while the change log is silent, from which source, and how far each is trusted.

Decision logic, without I/O or clock: `list_staleness`, `host_states`, `probe_schedule`, `host_registry`.
Carried out by: `probe`, `fallback`, `list_recorder`, `service`. `docs/discovery.md` is the design note.
"""
