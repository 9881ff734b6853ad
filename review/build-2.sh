#!/bin/sh
# Builds what the scripts of the second review start beside the build of the deploy file: the product with its
# declared extras, in .venv-dev. The stand-ins themselves need the standard library alone. A machine of the other
# kind needs `make clean` first.
set -eu
cd "$(dirname "$0")/.."
make .venv-dev/.ready
.venv-dev/bin/python -c "import pulleyroute.controlplane, pulleyroute.service"
