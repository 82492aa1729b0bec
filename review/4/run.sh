#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -f "$root/target/snowturn.jar" ] || [ ! -f "$root/target/review-2/Stage.class" ]; then
  echo "build first: the command of deploy/service.toml, then review/build-2.sh"
  exit 2
fi
exec java -Xmx256m -Droot="$root" -Dfolder="$folder" \
  -cp "$root/target/review-2:$root/target/lib/*" CaseReboot
