#!/usr/bin/env bash
# run-case.sh FOLDER CASE: plays a case, at most 115 s, and ends every process that it started. Exit: 1 broken, 0 held, 2 could not run.
set -u
folder=$1
cd "$(dirname "$0")/.." || exit 2
rig=target/review/release/quillmount-review
if [ ! -x "$rig" ] || [ ! -x target/tier/quillmount-node ]; then
    echo "build first: the build of deploy/system.toml, and review/build.sh"
    exit 2
fi
end_processes() {
    if [ -f "$folder/processes.tmp" ]; then
        while read -r id; do
            # Only what this case started: the id must still be a process of the deploy file's program.
            if [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$PWD/target/tier/quillmount-node" ]; then kill -KILL "$id" 2>/dev/null; fi
        done <"$folder/processes.tmp"
        rm -f "$folder/processes.tmp"
    fi
}
trap end_processes EXIT
timeout -k 3 115 "$rig" "$2" "$folder"
status=$?
if [ "$status" -gt 2 ]; then status=2; fi
exit "$status"
