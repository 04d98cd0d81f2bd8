#!/usr/bin/env bash
# round.sh PLAYER SYSTEM FOLDER [BEFORE]: runs the benchmarks required before a release one
# after the other and prints one table. PLAYER is the users' bench program, SYSTEM the folder
# with their deployments, FOLDER receives the output of each run. BEFORE is the FOLDER of an
# earlier round, whose mean worth is printed for comparison. JOBS (default 4) days run at a
# time: a day of a deployment with 90 gateways takes 1.5 GB. Runs that would take more than
# half of the machine's memory are left out, and the table says so.
set -eu
player=$1
system=$2
folder=$3
before=${4:-}
jobs=${JOBS:-4}
why=${WHY:-The round before a landing}
mkdir -p "$folder"

# The deployment files, by size.
small="sites/kilima-hq sites/nguyengia-lostfound further/tuhoe-keys"
grown="shifted/kilima-hq-now-grown grown/kilima-hq-grown grown/nguyengia-lostfound-grown further-grown/tuhoe-keys-grown"
large="large/kilima-hq-large"

# worth FILE prints the mean worth of the days with faults in the output of a score.
worth() {
	[ -s "$1" ] || { echo "-"; return; }
	awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $2 ~ /^[0-9]+\/[0-9]+$/ { sum += $4; n++ } END { if (n) printf "%.3f", sum / n; else printf "-" }' "$1"
}

# row DEPLOYMENT DAYS scores a deployment, hunts it for DAYS days and prints its line.
row() {
	local name=${1##*/} score hunt
	score=$folder/score-$name.log
	hunt=$folder/hunt-$name.log
	"$player" score "$system/$1.toml" --jobs "$jobs" --why "$why" >"$score" 2>&1 || true
	"$player" hunt "$system/$1.toml" --days "$2" --jobs "$jobs" --why "$why" >"$hunt" 2>&1 || true
	printf '%-28s %-12s %-6s %-6s %s\n' "$name" \
		"$(grep -o 'GATE [a-z]*' "$score" | tail -n 1 || echo 'not played')" \
		"$(worth "$score")" "$(worth "${before:+$before/score-$name.log}")" \
		"$(grep -h 'with a rule broken' "$hunt" || echo 'hunt not finished')"
}

# days FILE prints the names of the standard days of a deployment file.
days() { awk -F'"' '/^\[\[day\]\]/ { day = 1 } day && /^name = / { print $2; day = 0 }' "$1"; }

printf '%-28s %-12s %-6s %-6s %s\n' deployment gate worth before hunted
for one in $small; do row "$one" 40; done
for one in $grown; do row "$one" 8; done

# A day of a large deployment takes several cores, so its standard days run one at a time.
for one in $large; do
	for day in $(days "$system/$one.toml"); do
		log=$folder/run-${one##*/}-$day.log
		"$player" run "$system/$one.toml" "$day" --why "$why" >"$log" 2>&1 || true
		printf '%-28s %s\n' "${one##*/}" "$(grep "^$day " "$log" | tail -n 1 || echo "$day: not finished")"
	done
done
echo "not played here: sweeps (a day at 300 machines took 20 GB), hunts of the large deployment"
