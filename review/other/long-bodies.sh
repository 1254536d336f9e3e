#!/usr/bin/env bash
# No case of the review; see REPORT.md. TROUBLE=0: with 24 callers.
cd "$(dirname "$0")/../.." || exit 2
. review/run_case.sh
run_case review/other long_bodies
