"""Sockets: what listens, connects, reads and writes, and how many there may be. Knows no message."""
