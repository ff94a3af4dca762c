#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10, into
# review/bin-2.
set -eu
cd "$(dirname "$0")"
mkdir -p bin-2
for number in 6 7 8 9 10; do
    [ -f "$number/case.c" ] || continue
    gcc -std=c11 -O2 -g -Wall -Wextra -Istandin-2 -o "bin-2/case-$number" \
        "$number/case.c" standin-2/stand.c \
        standin-2/stream.c -pthread
done
