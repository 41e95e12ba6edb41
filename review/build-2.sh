#!/bin/sh
# Run from anywhere, after the build of deploy/balancer.toml, with the package mirrors at hand as for that. The stand-ins
# of review/lib2 need the standard library alone, so they are only compiled. The libraries that the project declares for
# its whole command line are for case 8 (`hoistplank control replica`) and case 9 (an operator's file).
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2 review/6 review/7 review/8 review/9 review/10
.venv/bin/pip -q install -r requirements-service.txt -r requirements-xds.txt
