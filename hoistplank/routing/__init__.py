"""Between the sockets and the Router: one task owns it, and all else reaches it through that task's queue."""
