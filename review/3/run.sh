#!/usr/bin/env bash
# See claim.txt. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
. review/run_case.sh
run_case review/3 late_orders
