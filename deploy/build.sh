#!/bin/sh
# Puts the program and its libraries under target/deps, compiled, so that a start reads no sources.
set -eu
[ target/deps/.done -nt deploy/requirements.txt ] || {
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    touch target/deps/.done
}
rm -rf target/deps/ruddersaddle*
for library in base upstreams routing serving; do
    cp -r "libs/$library/ruddersaddle_$library" target/deps/
done
cp -r platform/ruddersaddle_platform target/deps/
find target/deps/ruddersaddle* -type d -name tests -prune -exec rm -rf {} +
python3 -m compileall -q target/deps
