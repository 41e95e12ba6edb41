"""Versioned distribution of configuration, purges and host changes, with acknowledgements.

Control replicas follow the change log and forward its events; each dispatcher follows one replica and
acknowledges which version it has in force (docs/distribution.md). Off without a `(distribution …)` section in
the operator's file.
"""
