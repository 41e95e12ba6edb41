"""Parsers and encoders of the wire protocols, without I/O: bytes in, typed messages out."""
