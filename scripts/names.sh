#!/usr/bin/env bash
# Names of the users' platform belong in platform/ alone: fails when one stands
# in the product's own code or its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='ExpectedRev|HasMore|rows-(tx|get|feed|parts)|WarmupLeftMs|DbRole|SyncReplicas|MaxStalenessMs|CORNELLEVER_BOOT|X-Cornellever|TxIdleMs|ApiKeys|RatePerS|NOAUTH|Quota(WindowS|Overage|Slack)|Revoke(Ms|Strict)'
if grep -rnE "$names" src tests/unit --include='*.cpp' --include='*.hpp' --include='*.ipp' --include='*.ini'; then
  echo "names: the lines above use names of the platform outside platform/"
  exit 1
fi
echo "names: none of the platform's outside platform/"
