#!/usr/bin/env bash
# Runs one case: run.sh CLASS FOLDER. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
set -u
standins="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$standins/../.." && pwd)"
class="$1"
folder="$(cd "$2" && pwd)"
if [ ! -f "$root/target/review/review/$class.class" ] || [ ! -f "$root/target/snowturn.jar" ]; then
  echo "not built: run the build of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
REVIEW_PIDS="$(mktemp)"
export REVIEW_PIDS
timeout -k 3 117 java -Xmx1g -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 \
  -cp "$root/target/review:$root/target/lib/*" "review.$class" "$root" "$folder" &
driver=$!
trap 'kill $driver 2> /dev/null' TERM INT
wait $driver
status=$?
if kill -0 $driver 2> /dev/null; then # the wait was interrupted by a signal to this script
  wait $driver
  status=2
fi
# The driver ends the controllers; whatever it left behind, having been killed itself, is ended here by its id.
while read -r pid; do
  if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' < "/proc/$pid/cmdline" | grep -q 'target/snowturn.jar --config'; then
    kill -9 "$pid"
  fi
done < "$REVIEW_PIDS"
rm -f "$REVIEW_PIDS"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
