"""The load tool: an open loop on a schedule over several processes, which measures its own lateness too."""
