"""Versioned distribution of configuration, purges and host changes, with acknowledgements
(docs/distribution.md).

Control replicas follow the change log and hand its events on; dispatchers follow one replica each and say
which version they have in force. Off without a `(distribution …)` form in the operator's file.
"""
