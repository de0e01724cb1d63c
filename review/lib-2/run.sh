#!/bin/sh
# Runs the program of a case in the folder of this name; see build-2.sh.
set -u
folder=$(cd "$(dirname "$0")/../$1" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$1
if [ ! -x target/bin/loomd-platform ] || [ ! -x "$program" ]; then
	echo "not built: run the build of the deploy file and review/build-2.sh" >&2
	exit 2
fi
KIT_FOLDER=$(mktemp -d) || exit 2
export KIT_FOLDER
pid=
finish() {
	[ -n "$pid" ] && kill "$pid" 2>/dev/null
	rm -rf "$KIT_FOLDER"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"$program" "$folder/record.txt" &
pid=$!
wait "$pid"
status=$?
pid=
# a program that was ended by a signal could not run
[ "$status" -le 1 ] || status=2
exit "$status"
