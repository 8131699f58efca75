#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
stand_in="$root/review/standins-2/target/release/memory"
if [ ! -x "$stand_in" ] || [ ! -x "$root/target/release/frosttrail" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
exec "$stand_in" "$here" "$root"
