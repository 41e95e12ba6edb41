"""The two backends of the model: virtual time, and sockets on loopback."""
