#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case can't run here. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
command -v python3 > /dev/null || exit 2
exec python3 case.py
