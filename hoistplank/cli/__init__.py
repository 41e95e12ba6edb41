"""The command line, built on click: one group per subsystem, imported only when it is called."""
