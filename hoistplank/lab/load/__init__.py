"""The load tool: an open loop on a schedule over several processes that also measures its own lateness."""
