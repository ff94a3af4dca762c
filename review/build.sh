#!/bin/sh
# Builds the stand-ins and the programs of the cases, into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.c; do
    number=${case%/case.c}
    gcc -std=c11 -O2 -g -Wall -Wextra -Istandin -o "bin/case-$number" \
        "$case" standin/rig.c standin/rig-store.c -pthread
done
