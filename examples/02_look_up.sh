#!/usr/bin/env bash
# Looks up titles through one node. The response headers contain the outcome and the node that answered.
set -eu
. "$(dirname "$0")/common.sh"
curl -si "http://$ENTRY/titles?shop=12" -H 'Chicoryspar-Service: catalogue' -H 'Chicoryspar-Caller: shop-12' -H 'Chicoryspar-Timeout-Ms: 2000'
echo
