#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
folder=$(mktemp -d) || exit 2
stand_ins=
end() {
    # The stand-ins end the hosts; this only follows an interruption.
    [ -z "$stand_ins" ] || kill "$stand_ins" 2>/dev/null
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$folder"; then kill -KILL "$pid"; fi
    done
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
TROUBLE=${TROUBLE:-1} target/review-2/stand-ins "$(basename "$case_folder")" "$folder" "$case_folder/record.txt" &
stand_ins=$!
wait "$stand_ins"
code=$?
stand_ins=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
