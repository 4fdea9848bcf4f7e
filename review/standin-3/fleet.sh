# Starts a small deployment on loopback and plays one case on it; sourced by
# the run.sh of a case, which then calls: play NAME, the name of its program.
# Three machines serve control, two are front machines. Their settings hold
# what deploy/settings.json holds at the small deployments' bounds.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.."
programs=build/review-3
work=$(mktemp -d)
pids=()

finish() {
  local it
  for it in "${pids[@]}"; do kill -KILL "$it" 2>/dev/null; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null; done
  rm -rf "$work"
}
trap finish EXIT

core=(127.0.3.1 127.0.3.2 127.0.3.3)
front=(127.0.3.4 127.0.3.5)
runners=(127.0.3.1{1..8})

settings() { # settings ADDRESS
  local seeds="\"${core[0]}:$((base + 1))\",\"${core[1]}:$((base + 1))\",\"${core[2]}:$((base + 1))\""
  mkdir -p "$work/$1.data"
  cat >"$work/$1.json" <<JSON
{"name": "host-$1", "address": "$1", "data_centre": "here",
 "control_peer_port": $((base + 10)), "entry_peer_port": $((base + 25)),
 "seeds": [$seeds], "first_start": true, "lost_hosts_borne": 1,
 "data_folder": "$work/$1.data",
 "callers": "$1:$((base + 2))", "ready": "$1:$((base + 3))",
 "control": "$1:$((base + 1))", "metrics": "$1:$((base + 4))",
 "retry_ratio": 0.2, "retry_slack": 58, "retry_window_ms": 10000,
 "stop_timeout_ms": 8000, "cpu_share": 0.25, "memory_mb": 256,
 "link_mbps": 1000, "max_descriptors": 4100,
 "frame_key": "6272696172206c6561642066726f6e7420616e6420636f7265206672616d6573"}
JSON
}

start() { # start ROLE ADDRESS
  settings "$2"
  BRIARLEAD_CONFIG="$work/$2.json" target/bin/briarlead "$1" >>"$work/$2.log" 2>&1 &
  pids+=($!)
}

list() { # list PORT ADDRESS...
  local port=$1 out=""
  shift
  for it in "$@"; do out="$out${out:+,}$it:$port"; done
  echo "$out"
}

play() { # play NAME
  if [ ! -x target/bin/briarlead ] || [ ! -x "$programs/$1" ]; then
    echo "build the deploy file and run review/build-3.sh first"
    exit 2
  fi
  base=$("$programs/free_ports" "${core[@]}" "${front[@]}" "${runners[@]}") || exit 2
  for it in "${core[@]}"; do start registry "$it"; done
  for it in "${front[@]}"; do start gateway "$it"; done
  FRONT=$(list $((base + 2)) "${front[@]}") \
    READY=$(list $((base + 3)) "${front[@]}") \
    CONTROL=$(list $((base + 1)) "${core[@]}") \
    RUNNER_PORT=$((base + 30)) TROUBLE=$TROUBLE \
    timeout 100 "$programs/$1" "$here/record.txt"
  local status=$?
  [ $status -le 2 ] || status=2
  for it in "${pids[@]}"; do
    kill -0 "$it" 2>/dev/null || { echo "a process of the system ended by itself"; status=2; }
  done
  [ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"/
  exit $status
}
