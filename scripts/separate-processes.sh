#!/usr/bin/env bash
# Starts stand-ins, two sidecars and one entry as separate processes on loopback,
# sends one streamed question and one booking, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."

dir="$(mktemp -d)"
pids=()
stop() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait
  rm -rf "$dir"
}
trap stop EXIT

go build -o "$dir/" ./cmd/...

standin() {
  "$dir/standin" -kind "$1" -addr "127.0.0.1:$2" >/dev/null &
  pids+=("$!")
}
standin etcd 17000
standin platform 17001
standin engine 17002
standin service 17003

cat >"$dir/engine.yaml" <<'YAML'
instance: engine-0
target: engine-0
service: stundenplan-llm
kind: engine
availabilityZone: at-ost-a
control: 127.0.0.1:17010
data: 127.0.0.1:17011
keyValue: 127.0.0.1:17000
platform: 127.0.0.1:17001
targetAddress: 127.0.0.1:17002
YAML
cat >"$dir/service.yaml" <<'YAML'
instance: app-0
target: app-0
service: studio-app
kind: plain
availabilityZone: at-ost-a
control: 127.0.0.1:17012
data: 127.0.0.1:17013
keyValue: 127.0.0.1:17000
platform: 127.0.0.1:17001
targetAddress: 127.0.0.1:17003
YAML
cat >"$dir/entry.yaml" <<'YAML'
instance: entry-0
availabilityZone: at-ost-a
listen: 127.0.0.1:17020
control: 127.0.0.1:17021
keyValue: 127.0.0.1:17000
platform: 127.0.0.1:17001
YAML

until curl -sf -o /dev/null 127.0.0.1:17001/instances; do sleep 0.1; done
curl -sf -o /dev/null -H 'Content-Type: application/json' 127.0.0.1:17001/instances -d '[
  {"id":"engine-0","kind":"target","zone":"at-ost-a","control":"127.0.0.1:17010","data":"127.0.0.1:17011","service":"stundenplan-llm","target":"engine-0"},
  {"id":"app-0","kind":"target","zone":"at-ost-a","control":"127.0.0.1:17012","data":"127.0.0.1:17013","service":"studio-app","target":"app-0"},
  {"id":"entry-0","kind":"entry","zone":"at-ost-a","control":"127.0.0.1:17021","data":""}]'
export WAXWINGPICK_KEYVALUE=127.0.0.1:17000
"$dir/waxwingpick" preset apply config/tanzplan.yaml

for name in engine service; do
  "$dir/waxwingpickd" sidecar -settings "$dir/$name.yaml" >"$dir/$name.log" 2>&1 &
  pids+=("$!")
done
"$dir/waxwingpickd" entry -settings "$dir/entry.yaml" >"$dir/entry.log" 2>&1 &
pids+=("$!")

until curl -sf 127.0.0.1:17020/v1/models | grep -q '"stundenplan"'; do sleep 0.1; done
echo "a streamed question:"
curl -sN 127.0.0.1:17020/v1/chat/completions -H 'Content-Type: application/json' \
  -d '{"model":"stundenplan","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"who swapped Tuesday salsa"}]}'
echo "a booking, sent twice under one key:"
for _ in 1 2; do
  curl -s 127.0.0.1:17020/services/studio-app/bookings -H 'Idempotency-Key: 0190c2f0-demo' \
    -H 'Content-Type: application/json' -d '{"class":"tuesday salsa"}'
  echo
done
"$dir/waxwingpick" status
