"""Sockets: listening, connecting, reading, writing and the descriptor budget, independent of any protocol."""
