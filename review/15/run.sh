#!/bin/sh
# Usage: review/15/run.sh, in any folder, after the build of deploy/system.toml
# and review/build-3.sh. With TROUBLE=0 the configuration does not change.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 115 "$root/review/bin-3/case-15" \
    "$root/target/packages/daemon/lavenderd" "$folder" "$here/record.txt"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
