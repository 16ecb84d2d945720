#!/bin/sh
# The cases need Python's standard library alone, and of the project only what the deploy file builds.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
