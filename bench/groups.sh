#!/usr/bin/env bash
# groups.sh SITE.toml FOLDER: splits each standard day with faults into one day for each
# group of fault kinds, which keeps the changes of demand, so that the effect of a code
# change on one group can be measured.
# Run a day with: fleetbench run SITE.toml FOLDER/DAY-GROUP.toml --report FILE
set -eu
site=$1
folder=$2
mkdir -p "$folder"

# group NAME PATTERN writes days that contain only the faults whose kind matches.
group() {
	awk -v group="$1" -v kinds="$2" -v folder="$folder" '
		function flush() {
			if (name != "" && name !~ /^quiet/) {
				file = folder "/" name "-" group ".toml"
				printf "%s", text > file
				close(file)
			}
			text = ""; name = ""
		}
		/^\[\[day\]\]/ { flush(); inside = 1 }
		!inside { next }
		/^name = / { split($0, part, "\""); name = part[2]; $0 = "name = \"" name "-" group "\"" }
		/^closing = / { next }
		/^(plan|faults) = \[/ { listed = 1 }
		/^\]/ { listed = 0 }
		listed && /kind = / && $0 !~ "kind = \"(model_shift|" kinds ")" { next }
		{ text = text $0 "\n" }
		END { flush() }
	' "$site"
}

group shift 'model_shift'
group crash 'srv_crash|srv_cut|srv_flap'
group core 'node_freeze|core_cut|herd_kill|node_kill|replace_core|after_ack|disk|clock|node_cut'
group zone 'zone_cut'
group grey 'srv_grey|srv_slow|srv_lying|answer_lost|garble|reset_conns|lossy'
group leave 'scale_in|release'
group late 'applied_late'
group config 'config|bad_config|ack_lost|seed_turnover|hup|big_config'
group load 'burst|retry_abuse|give_up'
group roll 'roll_term|add_nodes'
