"""Several real processes with faults between them: relays, scenes, tallies over all dispatchers together."""
