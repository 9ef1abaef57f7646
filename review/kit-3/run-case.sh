#!/bin/bash
# run-case.sh NAME FOLDER: runs the program NAME of this kit on the built instances. Writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
kit=target/review-3/release/$1
instance=$PWD/target/release/sesamebarrow
if [ ! -x "$kit" ] || [ ! -x "$instance" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-3.sh first"
    exit 2
fi
work=$(mktemp -d) || exit 2
clean_up() {
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            # Ended already, unless the program was interrupted.
            if cat "/proc/$pid/cmdline" 2> /dev/null | tr "\0" " " | grep -qF "$work"; then
                kill -KILL "$pid"
            fi
        done < "$work/pids"
    fi
    rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
TMPDIR=$work timeout 115 "$kit" "$instance" "$folder/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
