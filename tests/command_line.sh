#!/usr/bin/env bash
# Output and exit codes of the command line and of errors in the settings.
set -u
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
expect() { # name, exit code, text that the output must contain, command...
  local name=$1 code=$2 text=$3
  shift 3
  local out got
  out=$("$@" 2>&1)
  got=$?
  if [ "$got" != "$code" ] || [[ "$out" != *"$text"* ]]; then
    echo "failed: $name: exit code $got instead of $code, output: $out"
    failed=1
  fi
}
cat > "$dir/good.json" <<'J'
{"host_name":"n0","domain":"z1","client_listen":"127.0.0.1:18080","peer_listen":"127.0.0.1:18081",
 "members":[{"host_name":"n1","domain":"z1","endpoint":"127.0.0.1:18083"}],
 "outside":{"cloud":"127.0.0.1:18090","state":"127.0.0.1:18091"},
 "settings":{"nodes":2,"zones":["z1"],"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":1.0,"gpus_max":2.0}],
  "objectives":[],"workers":{"report_s":2.0,"lease_s":14.0,"gang_wait_s":45.0,"gang_peer_s":5.0,"cancel_s":34.0},
  "state":{"rps":120.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":8},"cloud":{"rps":3.0,"list_lag_s":10.0},
  "limits":{"cpu":0.08,"memory_mb":56.0,"fd_limit":900},"clock_error_ms":250.0},"new":1}
J
expect version 0 fieldcleat "$bin" --version
expect help 0 --config "$bin" --help
expect "no settings" 2 "--config" "$bin"
expect "unknown option" 2 "nonsense" "$bin" --nonsense
expect "good settings" 0 good "$bin" --check --config "$dir/good.json"
expect "missing file" 2 none.json "$bin" --check --config "$dir/none.json"
echo '{' > "$dir/bad.json"
expect "not JSON" 2 "not JSON" "$bin" --check --config "$dir/bad.json"
while IFS='|' read -r name from to text; do
  sed "s/$from/$to/" "$dir/good.json" > "$dir/bad.json"
  expect "$name" 2 "$text" "$bin" --check --config "$dir/bad.json"
done <<'R'
no name|"host_name":"n0",||host_name
bad address|127.0.0.1:18080|here|client_listen
bad port|127.0.0.1:18091|127.0.0.1:99999|outside.state
negative lease|"lease_s":14.0|"lease_s":-1|settings.workers.lease_s
lease of less than three heartbeats|"lease_s":14.0|"lease_s":5.9|settings.workers.lease_s
cancel_s below lease_s|"cancel_s":34.0|"cancel_s":10|settings.workers.cancel_s
cancel_s without the margin above lease_s|"cancel_s":34.0|"cancel_s":19.9|settings.workers.cancel_s
text for a number|"rps":120.0|"rps":"many"|settings.state.rps
team without a name|"name":"t"|"nam":"t"|settings.teams[0].name
too few file descriptors|"fd_limit":900|"fd_limit":31|settings.limits.fd_limit
too little memory|"memory_mb":56.0|"memory_mb":2.0|settings.limits.memory_mb
too little CPU|"cpu":0.08|"cpu":0.0015|settings.limits.cpu
no CPU limit|"cpu":0.08,||settings.limits.cpu
one change per transaction|"txn_ops":8|"txn_ops":1|settings.state.txn_ops
announced limits are not an object|"txn_ops":8|"txn_ops":8,"next":7|settings.state.next
announced limits are a list|"txn_ops":8|"txn_ops":8,"next":[1]|settings.state.next
an announced limit is a string|"txn_ops":8|"txn_ops":8,"next":{"value_kb":"2"}|settings.state.next.value_kb
an announced limit out of range|"txn_ops":8|"txn_ops":8,"next":{"write_rps":0}|settings.state.next.write_rps
announced transactions too small|"txn_ops":8|"txn_ops":8,"next":{"txn_ops":1}|settings.state.next.txn_ops
no zones|"zones":\["z1"\]|"zones":[]|settings.zones
R
# Tight limits only cause a warning: the settings are accepted.
while IFS='|' read -r name from to text; do
  sed "s/$from/$to/" "$dir/good.json" > "$dir/tight.json"
  expect "$name" 0 "warning: $text" "$bin" --check --config "$dir/tight.json"
  expect "$name, good" 0 "settings are good" "$bin" --check --config "$dir/tight.json"
done <<'R'
tight CPU limit|"cpu":0.08|"cpu":0.002|settings.limits.cpu
tight memory limit|"memory_mb":56.0|"memory_mb":6|settings.limits.memory_mb
tight file descriptor limit|"fd_limit":900|"fd_limit":48|settings.limits.fd_limit
R
# Announced limits of the key-value store (state.next): all of them, some, none, and unknown ones.
while IFS='|' read -r name to; do
  sed "s/\"txn_ops\":8/\"txn_ops\":8,\"next\":$to/" "$dir/good.json" > "$dir/next.json"
  expect "$name" 0 "settings are good" "$bin" --check --config "$dir/next.json"
done <<'R'
all limits announced|{"rps":100.0,"write_rps":15.0,"value_kb":2.0,"txn_ops":4}
some limits announced|{"value_kb":2.0}
no limits announced|{}
null for the announced limits|null
an announced limit that is null|{"value_kb":null,"txn_ops":4}
unknown limits announced|{"new":"x"}
R
ample=$("$bin" --check --config "$dir/good.json" 2>&1)
[ "$ample" = "settings are good" ] || { echo "failed: no warning with ample limits: $ample"; failed=1; }
printf '[scheduler]\nround_s = 1.0\n[machines]\nrent = false\n' > "$dir/op.toml"
expect "operators' settings" 0 good "$bin" --check --operator "$dir/op.toml" --config "$dir/good.json"
printf '[scheduler]\nround = 1.0\n' > "$dir/op.toml"
expect "unknown key" 2 scheduler.round "$bin" --check --operator "$dir/op.toml" --config "$dir/good.json"
printf '[scheduler]\nround_s = "x"\n' > "$dir/op.toml"
expect "mistyped key" 2 scheduler.round_s "$bin" --check --operator "$dir/op.toml" --config "$dir/good.json"
exit $failed
