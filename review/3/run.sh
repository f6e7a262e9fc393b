#!/bin/sh
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../run-case.sh"
