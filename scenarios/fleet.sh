#!/usr/bin/env bash
# Starts the processes of a scenario on loopback: the platform's log on port 18301, its
# list on 18302, the engines (ports from 18101) and plain services (from 18201) of the
# object set, and entry instances (callers from 18001, peers 18401, operators 18501).
#
#   scenarios/fleet.sh start NAME BIN DIR   NAME is jadran or brazos, BIN holds the programs
#   scenarios/fleet.sh stop DIR             ends the processes listed in DIR/pids
#
# start writes DIR/pids, for `cairnload run --pids`. The object set NAME.objects.json has
# to be published afterwards.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
entries=9

launch() { # NAME PROGRAM ARGS...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  echo "$name $!" >>"$dir/pids"
}

start() {
  local set="$here/$1.objects.json" bin=$2
  dir=$3
  mkdir -p "$dir"
  : >"$dir/pids"
  launch log "$bin/cairnstand" log --listen 127.0.0.1:18301
  launch list "$bin/cairnstand" list --listen 127.0.0.1:18302
  jq -r '.upstreams[] | [.name, .role, .address] | @tsv' "$set" | while IFS=$'\t' read -r name role address; do
    if [ "$role" = plain ]; then
      launch "$name" "$bin/cairnstand" plain --listen "$address" --crash-in-place
    else
      launch "$name" "$bin/cairnstand" engine --role "$role" --listen "$address" --crash-in-place \
        --token-time 40ms --prefill-rate 12000 --resume-ttl 60s
    fi
  done
  local n
  for n in $(seq 1 $entries); do
    jq -n --arg n "$n" --arg dc "$(jq -r "[.upstreams[].data_centre] | unique | .[$n % length]" "$set")" '{
      instance: ("entry-" + $n), data_centre: $dc, drain_grace_seconds: 1,
      callers: {address: ("127.0.0.1:1800" + $n)},
      peers: {address: ("127.0.0.1:1840" + $n), seeds: ["127.0.0.1:18401", "127.0.0.1:18402"]},
      operators: {address: ("127.0.0.1:1850" + $n)},
      platform: {log: "127.0.0.1:18301", list: "127.0.0.1:18302"}}' >"$dir/entry-$n.json"
    launch "entry-$n" "$bin/cairnworksd" run --settings "$dir/entry-$n.json"
  done
}

stop() {
  while read -r _ pid; do
    # Another program may have the id of a process that has ended.
    if grep -qa cairn "/proc/$pid/cmdline" 2>/dev/null; then
      kill "$pid" || true
    fi
  done <"$1/pids"
}

case "${1:-}" in
  start) start "$2" "$3" "$4" ;;
  stop) stop "$2" ;;
  *) sed -n '2,10p' "$0" && exit 2 ;;
esac
