#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: checks that Python can compile them. They need nothing
# but Python's standard library and what `sh deploy/build.sh` has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/ruddersaddle_platform ] || sh deploy/build.sh
mkdir -p target/review-2
for source in review/common2/*.py review/[4-8]/*.py; do
    [ ! -f "$source" ] || python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
        "$source" "target/review-2/$(echo "$source" | tr / -).pyc"
done
