#!/usr/bin/env bash
# Runs scenarios in virtual time with the current module, with the module at REVISION, and with requests sent directly
# to the servers. Writes one table per scenario and, if gnuplot is installed, one plot per scenario.
#   bench/compare_virtual.sh REVISION RESULT.md SCENARIO...
# Run it from the root. Needs a C++20 compiler, libtomlplusplus-dev, libcli11-dev; gnuplot-nox for the plots.
set -euo pipefail
revision=$1
result=$2
shift 2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
loads="0.1 0.5 0.8 0.9 1.2 2 5"

build() {  # build SOURCE-ROOT FOLDER-OF-THE-MODULE PROGRAM
  g++ -std=c++20 -O2 -Wno-restrict -I"$1/include" -I"$1/$2" -I"$1/bench/model" -I"$1/bench/virtual" -I"$1/bench/cli" \
    "$1/$2"/*.cpp "$1"/bench/model/*.cpp "$1"/bench/virtual/*.cpp -o "$3"
}
mkdir "$scratch/then"
folder=policy
git cat-file -e "$revision:policy" 2>/dev/null || folder=src  # the directory's former name
git archive "$revision" include "$folder" bench/model bench/virtual bench/cli | tar -x -C "$scratch/then"
build . policy "$scratch/now_play" &
build "$scratch/then" "$folder" "$scratch/then_play" &
wait

for scenario in "$@"; do
  file=bench/scenarios/$scenario.toml
  load=$loads
  grep -q '^x = ' "$file" || load=1
  { "$scratch/now_play" "$file" --times $load --direct || true; } >"$scratch/$scenario.now" &
  { "$scratch/then_play" "$file" --times $load || true; } >"$scratch/$scenario.then" &
  while [ "$(jobs -rp | wc -l)" -ge "$(nproc)" ]; do wait -n; done
done
wait

{
  echo "# Adaptive concurrency limit, in virtual time"
  echo
  echo "Command: \`bench/compare_virtual.sh $revision $result $*\`"
  echo "Commit: $(git rev-parse --short HEAD) ('now'); $revision ('then'). 'direct': requests go to the servers round"
  echo "robin and queue there. Seed 1. Virtual time: the figures are the same on any machine (produced on $(nproc) cores,"
  echo "$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -1), $(g++ --version | head -1))."
  echo "Columns: bench/scenarios/README.md."
  for scenario in "$@"; do
    echo
    echo "## $scenario: $(sed -n 's/^title = "\(.*\)"/\1/p' "bench/scenarios/$scenario.toml")"
    echo
    echo '```'
    head -1 "$scratch/$scenario.now"
    { sed -n '2,$p' "$scratch/$scenario.now" | sed 's/ module / now    /'
      sed -n '2,$p' "$scratch/$scenario.then" | sed 's/ module / then   /'; } | sort -s -k3,3n
    echo '```'
  done
} >"$result"

command -v gnuplot >/dev/null || exit 0
plots=${result%.md}
mkdir -p "$plots"
for scenario in "$@"; do
  [ "$(wc -l <"$scratch/$scenario.then")" -gt 3 ] || continue
  grep ' module ' "$scratch/$scenario.now" >"$scratch/a"
  grep ' direct ' "$scratch/$scenario.now" >"$scratch/b"
  grep ' module ' "$scratch/$scenario.then" >"$scratch/c"
  gnuplot -e "set terminal svg size 640,400 dynamic; set output '$plots/$scenario.svg'; set logscale x; set yrange [0:1.1];
    set title '$scenario'; set xlabel 'load, in multiples of capacity'; set ylabel 'served in time / achievable'; set key bottom left;
    plot '$scratch/a' using 3:5 with linespoints title 'now', '$scratch/c' using 3:5 with linespoints title 'then',
         '$scratch/b' using 3:5 with linespoints title 'direct'"
done
