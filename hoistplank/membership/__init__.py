"""Which cache hosts there are while the change log is silent, from which source, and how far it is trusted.

Decision logic, without I/O or clock: `ages`, `roster`. Carrying out: `service`.
"""
