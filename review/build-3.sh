#!/bin/sh
# Checks what the scripts 11 to 15 need. Their stand-ins (rig-3/) are Python
# modules of the scripts themselves and use the standard library only, so there
# is nothing else to build. The deploy file's build comes first.
set -e
cd "$(dirname "$0")"
test -d ../target/app/platform
python3 - rig-3/*.py 1[1-5]/case.py <<'END'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
