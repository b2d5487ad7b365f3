#!/usr/bin/env bash
# Fails when a name of the platform's interfaces occurs in src/ or tests/unit:
# only the adapters in platform/ may use them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='ExpectedRev|HasMore|rows-(tx|get|feed|parts)|WarmupLeftMs|DbRole|SyncReplicas|MaxStalenessMs|CORNELLEVER_BOOT|X-Cornellever|TxIdleMs|ApiKeys|RatePerS|NOAUTH|Quota(WindowS|Overage|Slack)|Revoke(Ms|Strict)'
if grep -rnE "$names" src tests/unit --include='*.cpp' --include='*.hpp' --include='*.ipp' --include='*.ini'; then
  echo "names: the lines above use platform names outside platform/"
  exit 1
fi
echo "names: no platform names outside platform/"
