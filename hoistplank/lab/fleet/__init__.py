"""Several real processes with faults between them: relays, scenes, metrics over all dispatchers together."""
