#!/bin/sh
# Builds the stand-ins of all cases. They are Python, so this only checks that each of them compiles. It needs
# the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins.py review/[123]/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
