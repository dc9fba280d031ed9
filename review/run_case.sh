#!/bin/sh
# Runs a case: run_case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
case_program="$root/target/review/release/review-case"
daemon="$root/target/release/mustardraild"
for program in "$case_program" "$daemon"; do
    if [ ! -x "$program" ]; then
        echo "could not run: $program is missing; run the build of deploy/system.toml and review/build.sh"
        exit 2
    fi
done
"$case_program" "$1" "$daemon" "$2/record.txt" &
child=$!
trap 'kill -TERM $child 2>/dev/null; wait $child; exit 2' TERM INT
wait $child
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
