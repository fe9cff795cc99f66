#!/bin/sh
# Builds the stand-ins of the cases. They need only Python's standard library,
# so building means compiling them; the product is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-9]
test -f ../target/app/platform/__main__.py
