#!/usr/bin/env bash
# exit 1: ran_twice was broken, 0: it held, 2: the case could not run.
# TROUBLE=0: without the disruption. TROUBLE=cut: with the cut alone, without late copies.
set -u
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
[ -f "$repository/target/pearscale.jar" ] && [ -d "$repository/target/review" ] || exit 2
timeout -k 5 110 java -Dsun.net.httpserver.nodelay=true -Xmx256m -cp "$repository/target/review" \
  ZoneCutCase "$repository" "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
