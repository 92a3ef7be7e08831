#!/usr/bin/env bash
# Places an order that runs at most once. It may be retried with the same key through any node, which runs the order or returns
# the answer of the earlier run. The outcome in the response headers determines what the caller may do:
#   Chicoryspar-Outcome: answer    the order ran, and this is its complete answer
#   Chicoryspar-Outcome: not-run   the order did not run; retry after Retry-After, with this key or a new one
#   Chicoryspar-Outcome: unknown   the order may have run; retry only with this key
set -eu
. "$(dirname "$0")/common.sh"
key=$(make_key)
for entry in ${ENTRIES//,/ }; do
    curl -si "http://$entry/orders?shop=12" -d '{"title": "Morning Courier", "copies": 20}' \
        -H 'Chicoryspar-Service: orders' -H 'Chicoryspar-Caller: shop-12' -H "Idempotency-Key: \"$key\"" |
        grep -iE '^HTTP|^chicoryspar-(outcome|reason|node)|"instance"' | tr -d '\r'
    echo
done
