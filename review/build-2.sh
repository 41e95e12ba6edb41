#!/bin/sh
# Run from anywhere, after the build of deploy/balancer.toml, with the package mirrors at hand. The stand-ins of
# review/lib2 need the standard library alone; case 9 also starts the dispatcher with an operator's file, which needs
# the libraries that the project declares for it.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-service.txt -r requirements-xds.txt
.venv/bin/python -m compileall -q review/lib2
