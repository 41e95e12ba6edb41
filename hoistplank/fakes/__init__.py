"""Test doubles on loopback for the systems around a dispatcher, for the demo, tests and benchmarks."""
