"""What stands in on loopback for the systems around a dispatcher: for the demo, the tests and the
measurements."""
