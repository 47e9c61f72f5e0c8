#!/bin/sh
# Prepares the stand-ins of the cases 6 and up. They are written in Python and need its standard library (3.11) alone; the
# programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in review/platform2.py review/[6-9]/case.py review/10/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
