# Starts and stops the programs of a build; sourced by other scripts. Sets $bin, $run and $started.

bin=build/bin
run=$(mktemp -d)
pids=()
started=0

finish() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$run"
}
trap finish EXIT

# Starts a process under a name and waits until it reports that it is ready.
start() {
  local name=$1
  shift
  mkfifo "$run/$name.out"
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
  started=$!
  if ! grep -q -m1 ready <"$run/$name.out"; then
    cat "$run/$name.log"
    exit 1
  fi
}

# Waits until an entry host answers a service's requests.
wait_serving() {
  local target=$1 service=$2
  for _ in $(seq 200); do
    if "$bin/quetzal-load" -t "$target" -s "$service" -r 1 -d 1000 | grep -q 'answered 1'; then
      return
    fi
  done
  echo "$target does not answer requests for $service"
  exit 1
}

# Prints the processor time of a process, in milliseconds.
cpu_ms() {
  local hz
  hz=$(getconf CLK_TCK)
  awk -v hz="$hz" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

# Prints the resident memory of a process, in kilobytes.
rss_kb() {
  awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# Puts a document on trial at a platform and promotes it.
promote() {
  local platform=$1 file=$2 token
  token=$("$bin/quetzalctl" -p "$platform" trial "$file" | awk '/^tried/ { print $2 }')
  "$bin/quetzalctl" -p "$platform" -t "$token" promote "$file"
}
