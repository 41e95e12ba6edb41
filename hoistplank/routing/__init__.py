"""Connects the sockets to the Router. A single task owns it; everything else submits events to its queue."""
