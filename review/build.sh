#!/bin/bash
# The stand-ins of the scripts are Python programs that use the standard library only. This checks that
# each of them compiles; nothing else is to be built.
set -eu
cd "$(dirname "$0")"
python3 - standins.py [1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(f"{path}: compiles")
PYTHON
