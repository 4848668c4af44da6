#!/usr/bin/env bash
# Puts the daemon and the pinned libraries that it needs into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! [ target/deps/.ready -nt requirements.txt ] || ! [ target/deps/.ready -nt deploy/requirements.in ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
        -c requirements.txt -r deploy/requirements.in
    touch target/deps/.ready
fi
for package in common daemon; do
    ln -sfn "../../packages/redwingscale-$package/src/redwingscale_$package" \
        "target/deps/redwingscale_$package"
done
