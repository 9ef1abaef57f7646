#!/bin/sh
# Exit status: 1 if EVAC was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/release/catalog_gap"
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
end_all() {
    # Only after an early end; otherwise the program has ended all that it started.
    kill "$case_pid" 2>/dev/null
    sed -n 's/.* started, pid //p' "$folder/record.txt" | while read -r pid; do kill -s KILL "$pid" 2>/dev/null; done
    exit 2
}
trap end_all INT TERM HUP
ROOT="$root" "$program" "$folder" &
case_pid=$!
wait "$case_pid"
