"""The dispatcher process: configuration, logging, phases, reload and shutdown."""
