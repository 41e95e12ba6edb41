"""The two drives of the model: virtual time, and sockets on loopback."""
