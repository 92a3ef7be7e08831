#!/usr/bin/env bash
# Orders without a key, or with a key that contains no timestamp, are refused as not run, with the reason as problem details (RFC 9457).
set -eu
. "$(dirname "$0")/common.sh"
curl -si "http://$ENTRY/orders" -d '{}' -H 'Chicoryspar-Service: orders'
echo
curl -si "http://$ENTRY/orders" -d '{}' -H 'Chicoryspar-Service: orders' -H 'Idempotency-Key: "8e03978e-40d5-43e8-bc93-6894a57f9324"'
echo
