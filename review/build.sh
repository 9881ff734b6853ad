#!/bin/sh
# Builds the stand-ins of all cases: they are Python on the standard library, and the deploy file's build has made .venv.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 1; }
exec .venv/bin/python -m py_compile review/standins.py review/*/case.py
