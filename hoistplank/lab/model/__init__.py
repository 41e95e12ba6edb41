"""The simulated world: no I/O and no clock; time is passed in, in whole microseconds."""
