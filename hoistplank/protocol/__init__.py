"""What is spoken on the sockets: parsed from a buffer and encoded. No sockets, no clock."""
