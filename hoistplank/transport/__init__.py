"""Sockets: what listens, what connects, and how many there may be. Knows no message of any protocol."""
