"""Persistent state of a dispatcher: checksummed frames, snapshots in generations, and a log of changes.

`frames` and `schemas` are pure (bytes in, values out); `state_reader` and `folder` access files;
`background_writer` is the only thread that writes.
"""
