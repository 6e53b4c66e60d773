#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need the
# standard library only, so that nothing is built; this checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - play2.py [6-9]/case.py 10/case.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
CHECK
