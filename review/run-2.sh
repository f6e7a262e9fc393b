# Runs the case in the folder CASE with the TROUBLE that its run.sh sets: one program that starts the
# drivers by the deploy file and plays everybody else on loopback. What it leaves running is ended here.
set -u
ROOT=$(cd "$CASE/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$CASE/record.txt
: >"$RECORD" || exit 2
if [ -z "$RUN" ] || [ ! -x "$ROOT/bin/sedgespread" ] || [ ! -x "$CASE/case" ]; then
	echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first" | tee "$RECORD"
	exit 2
fi
WORK=$(mktemp -d) || exit 2
export ROOT RUN RECORD WORK
cleanup() {
	kill "$player" 2>/dev/null
	wait "$player" 2>/dev/null
	if [ -f "$WORK/pids" ]; then
		while read -r pid; do
			grep -q sedgespread "/proc/$pid/cmdline" 2>/dev/null && kill -9 "$pid" 2>/dev/null
		done <"$WORK/pids"
	fi
	rm -rf "$WORK"
}
timeout -k 2 112 "$CASE/case" &
player=$!
trap cleanup EXIT
trap 'exit 2' HUP INT TERM
wait "$player"
rc=$?
for log in "$WORK"/*.log; do
	[ -f "$log" ] && { echo "--- log of ${log##*/}"; head -c 200000 "$log"; } >>"$RECORD"
done
case $rc in 0 | 1) exit $rc ;; *) exit 2 ;; esac
