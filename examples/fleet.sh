#!/bin/sh
# Starts a fleet on loopback for trying out docs/OPERATIONS.md: the platform's log and
# list, 13 upstreams and nine instances in three data centres.
#
#   examples/fleet.sh platform         log, list and upstreams
#   examples/fleet.sh instance 0 1 2   instances 0 to 8
#   examples/fleet.sh upstream NAME    one upstream that has stopped
#   examples/fleet.sh stop             kills all processes started this way
#
# BIN is the directory of the programs, DIR that of settings, logs and process ids.
# Instance N listens on port 2400N for callers, 2410N for peers, 2420N for operators.
set -eu
BIN=${BIN:-bin}
DIR=${DIR:-bin/fleet}
here=$(dirname "$0")
mkdir -p "$DIR/settings" "$DIR/logs" "$DIR/pids"

start() {
	name=$1
	shift
	"$@" >>"$DIR/logs/$name.log" 2>&1 &
	# Appended to the earlier ids: if a name is started twice, the second process
	# cannot listen on the same port, and stop must still kill the first.
	echo $! >>"$DIR/pids/$name"
}

data_centre() { case $(($1 % 3)) in 0) echo split-a ;; 1) echo rijeka-b ;; 2) echo zadar-c ;; esac; }

name() { echo "$(data_centre "$1")-$(($1 / 3 + 1))"; }

# Maps the addresses in objects.json to loopback: 10.0.A.BC becomes port 23ABC.
objects() { sed 's/10\.0\.\([0-9]\)\.\([0-9]*\):80[0-9]0/127.0.0.1:23\1\2/' "$here/objects.json" >"$DIR/objects.json"; }

upstreams() { tr -d ' ",' <"$DIR/objects.json" | awk -F: '
	$1 == "name" { name = $2 } $1 == "role" { role = $2 } $1 == "address" { print name, role, $2 ":" $3 }'; }

upstream() {
	case $2 in
	plain) start "$1" "$BIN/cairnstand" plain --listen "$3" ;;
	*) start "$1" "$BIN/cairnstand" engine --role "$2" --listen "$3" ;;
	esac
}

platform() {
	objects
	start log "$BIN/cairnstand" log --listen 127.0.0.1:24900
	set --
	for n in 0 1 2 3 4 5 6 7 8; do
		set -- "$@" --instance "$(name $n)=127.0.0.1:2410$n=$(data_centre $n)"
	done
	start list "$BIN/cairnstand" list --listen 127.0.0.1:24901 "$@"
	upstreams | while read -r name role address; do upstream "$name" "$role" "$address"; done
}

instance() {
	cat >"$DIR/settings/$(name "$1").json" <<EOF
{
  "instance": "$(name "$1")", "data_centre": "$(data_centre "$1")",
  "callers": {"address": "127.0.0.1:2400$1"},
  "peers": {"address": "127.0.0.1:2410$1"},
  "operators": {"address": "127.0.0.1:2420$1"},
  "platform": {"log": "127.0.0.1:24900", "list": "127.0.0.1:24901"}
}
EOF
	start "$(name "$1")" "$BIN/cairnworksd" run --settings "$DIR/settings/$(name "$1").json"
}

command=${1:-help}
[ $# -gt 0 ] && shift
case $command in
platform) platform ;;
instance) for n in "$@"; do instance "$n"; done ;;
upstream) upstreams | while read -r name role address; do [ "$name" != "$1" ] || upstream "$name" "$role" "$address"; done ;;
stop) for pid in "$DIR"/pids/*; do
	while read -r id; do kill -9 "$id" 2>/dev/null || true; done <"$pid"
	rm "$pid"
done ;;
*) sed -n '2,11p' "$0" ;;
esac
