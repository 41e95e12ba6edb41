#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs on the standard library, so this only compiles them.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
