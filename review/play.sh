#!/usr/bin/env bash
# play.sh SCENARIO FRONTS FOLDER: starts the stand-ins and the entry hosts of one scenario on a
# loopback network of its own and writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
set -u
scenario=$1 fronts=$2
folder=$(cd "$3" && pwd)
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 2

program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
world=review/bin/review-world
[ -x "$program" ] && [ -x "$world" ] || { echo "build first: deploy file, review/build.sh" >&2; exit 2; }

temporary=$(mktemp -d)
network="127.$((1 + $$ / 200 % 250)).$((1 + $$ % 200))."
pids=()
judge=
stop_all() {
  [ -z "$judge" ] || kill -TERM "$judge" 2>/dev/null # `timeout` passes it on.
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$temporary"
}
trap stop_all EXIT

# Fills in the template of the settings, with the bounds of a small deployment.
settings() {
  sed -e "s/{{node}}/front-$1/; s/{{ip}}/${network}$((10 + $1))/; s/{{zone}}/z$(($1 % 3))/" \
    -e "s/{{port-range.0}}/7060/; s/{{listen.front}}/${network}$((10 + $1)):8624/" \
    -e "s/{{listen.ready}}/${network}$((10 + $1)):8625/; s/{{platform.address}}/${network}1:8621/" \
    -e "s/{{cloud.address}}/${network}1:8622/; s/{{cloud.duty-per-s}}/64.0/" \
    -e "s/{{cloud.rate-per-s}}/64.0/; s/{{bounds.grace-s}}/6/; s/{{bounds.hold-max-ms}}/6000/" \
    -e "s/{{bounds.lease-ms}}/3000/; s/{{bounds.status_s}}/120/; s/{{bounds.move-s}}/1.5/" \
    -e "s/{{bounds.maintenance-s}}/2/; s/{{limits.cpu-share}}/0.25/" \
    -e "/{{#advice}}/d; /{{\/advice}}/d; s/{{\.}}/${network}1:8623/" deploy/settings.yaml
}

timeout --signal=KILL 117 \
  "$world" "$scenario" "$network" "$fronts" "$folder/record.txt" "$temporary" &
judge=$!
for _ in $(seq 50); do [ -f "$temporary/ready" ] && break; sleep 0.1; done
[ -f "$temporary/ready" ] || exit 2

start_front() {
  settings "$1" >"$temporary/front-$1.yaml"
  QUETZALWHEEL_NODE_FILE="$temporary/front-$1.yaml" "$program" >>"$temporary/front-$1.log" 2>&1 &
  pids[$1]=$!
  echo "$!" >"$temporary/pid-$1"
}

for ((i = 0; i < fronts; i++)); do start_front "$i"; done
# The platform starts a process that has ended again after a short delay.
while kill -0 "$judge" 2>/dev/null; do
  sleep 0.3
  for ((i = 0; i < fronts; i++)); do kill -0 "${pids[$i]}" 2>/dev/null || start_front "$i"; done
done 2>/dev/null
wait "$judge"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$temporary"/front-*.log "$KEEP_LOGS"
[ "$status" -le 2 ] || status=2
exit "$status"
