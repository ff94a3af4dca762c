#!/bin/sh
# Builds the stand-ins and the programs of the cases 11 to 15, into
# review/bin-3.
set -eu
cd "$(dirname "$0")"
mkdir -p bin-3
for number in 11 12 13 14 15; do
    [ -f "$number/play.c" ] || continue
    gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Istandin-3 \
        -o "bin-3/case-$number" "$number/play.c" standin-3/*.c -pthread
done
