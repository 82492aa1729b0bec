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
timeout -k 3 117 java -Xmx1g -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 \
  -cp "$root/target/review:$root/target/lib/*" "review.$class" "$root" "$folder"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
