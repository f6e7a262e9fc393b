#!/bin/sh
# TROUBLE=1, which is the default: 40 clients send 4 writes of 64 KiB at once each.
# TROUBLE=0: the same writes, each after the answer to the one before. The rule has to hold then.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Writes record.txt beside this file.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
case $TROUBLE in
0 | 1) ;;
*)
	echo "TROUBLE is 0 or 1, not $TROUBLE" >&2
	exit 2
	;;
esac
export CASE TROUBLE
. "$CASE/../run-case.sh"
