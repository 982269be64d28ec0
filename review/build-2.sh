#!/bin/sh
# Checks that the stand-ins of the second review, and those of the project that
# they use, can be loaded; run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:.
python3 -m compileall -q standins review/standins_2 || exit 2
for module in review/standins_2/*.py; do
    name=$(basename "$module" .py)
    python3 -c "import review.standins_2.$name" || exit 2
done
