"""Parsers and encoders of what is spoken on the sockets, without I/O: bytes in, typed messages out."""
