"""Host membership: the known cache hosts and their trust states, also while the change log is silent.

Decision logic without I/O or clock: `list_staleness`, `host_states`, `probe_schedule`, `host_registry`.
I/O and tasks: `probe`, `fallback`, `list_recorder`, `service`. `docs/discovery.md` is the design note.
"""
