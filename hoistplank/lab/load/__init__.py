"""The load tool: an open-loop load generator over several processes that also measures its own lateness."""
