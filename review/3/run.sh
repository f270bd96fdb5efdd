#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_RECORD="$PWD/review/3/record.txt"
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_RECORD REVIEW_TMP
end() {
    # Ends what this run started, also if it was broken off.
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$REVIEW_TMP/pids" 2>/dev/null
    rm -rf "$REVIEW_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 115 target/review/release/review-standin forgotten-removal
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
