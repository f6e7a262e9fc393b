# Runs the case in the folder CASE, which its run.sh sets: one process that starts the driver by the
# deploy file and plays everybody else on loopback. It ends the driver whatever happens.
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
trap 'rm -rf "$WORK"' EXIT
export ROOT RUN RECORD WORK
export TROUBLE="${TROUBLE:-1}"
timeout -k 2 115 "$CASE/case"
rc=$?
for log in "$WORK"/*.log; do
	[ -f "$log" ] && { echo "--- log of ${log##*/}"; head -c 200000 "$log"; } >>"$RECORD"
done
case $rc in 0 | 1) exit $rc ;; *) exit 2 ;; esac
