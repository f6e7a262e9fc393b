# Runs the case in the folder CASE with the TROUBLE that its run.sh sets: one process that starts the
# driver by the deploy file and plays everybody else on loopback. The driver ends with that process.
set -u
ROOT=$(cd "$CASE/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$CASE/record.txt
: >"$RECORD" || exit 2
if [ -z "$RUN" ] || [ ! -x "$ROOT/bin/sedgespread" ] || [ ! -x "$CASE/case" ]; then
	echo "not built: the build of deploy/balancer.toml and review/build.sh come first" | tee "$RECORD"
	exit 2
fi
WORK=$(mktemp -d) || exit 2
export ROOT RUN RECORD WORK
timeout -k 2 115 "$CASE/case" &
player=$!
trap 'rm -rf "$WORK"' EXIT
trap 'kill "$player" 2>/dev/null; wait "$player" 2>/dev/null; exit 2' HUP INT TERM
wait "$player"
rc=$?
for log in "$WORK"/*.log; do
	[ -f "$log" ] && { echo "--- log of ${log##*/}"; head -c 200000 "$log"; } >>"$RECORD"
done
case $rc in 0 | 1) exit $rc ;; *) exit 2 ;; esac
