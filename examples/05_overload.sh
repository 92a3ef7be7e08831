#!/usr/bin/env bash
# Makes the treasury service six times slower for 4 s under aggressively retrying callers, and reports goodput by class and recovery time.
set -eu
. "$(dirname "$0")/common.sh"
set_slow() {
    for it in $TREASURY_BACKENDS; do
        curl -s -o /dev/null "http://$it/standin/faults" -d "{\"slow\": $1}"
    done
}
(sleep 4; set_slow 6; sleep 4; set_slow 1) &
"$BIN/chicoryspar-load" --entries="$ENTRIES" --caller=shop-12 --lookup=rounds:/rounds --order=orders:/orders --rate=500 \
    --order_share=0.4 --duration_s=14 --cause_at_s=4 --cause_s=4 --hard --seed=7
wait
