#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the front door: the stand-ins, which need
# nothing but the Python of the deploy file's build.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python
PYTHONPYCACHEPREFIX="$(mktemp -d)" ../.venv/bin/python -m py_compile standins_2.py [6-9]/case.py 10/case.py
