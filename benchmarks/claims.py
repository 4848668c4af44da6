"""Claims with and without batches: transactions for each claim, and latency.

One instance's claims against a platform stand-in in its own process. Every
worker opens a claim and keeps a small outcome, again and again.
"""

import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import quantiles

import urllib3
from redwingscale_daemon._internal.idempotency.claim import Claimant, ClaimKey
from redwingscale_daemon._internal.idempotency.claims import Claimed, Claims
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.outcome import Answer, OutcomeStore
from redwingscale_daemon._internal.idempotency.retention import Retention
from redwingscale_daemon._internal.idempotency.settler import Settler
from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.store import connect_platform
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_standins.launcher.process import ChildProcess

from benchmarks.lib.points import write_points

WORKERS = 64
CLAIMS = 2000
BATCHES = (1, 64)
TABLE_SECONDS = (0.0, 0.005, 0.02)
ANSWER = Answer(200, "application/json", b'{"receipt": 1}')


def main() -> None:
    """Run every setting once, one after the other."""
    with tempfile.TemporaryDirectory() as directory:
        process = ChildProcess("platform", "redwingscale_standins.platform", [], Path(directory))
        try:
            url = f"http://127.0.0.1:{process.read_ready_line()['port']}"
            metrics = Metrics("")
            points = [measure(url, metrics, b, s) for s in TABLE_SECONDS for b in BATCHES]
        finally:
            process.kill()
    write_points("claims", {"workers": WORKERS, "claims": CLAIMS}, points)


def measure(
    url: str, metrics: Metrics, most_in_batch: int, table_seconds: float
) -> dict[str, float]:
    """Return the figures of one setting."""
    urllib3.request("POST", f"{url}/admin/faults", json={"slow_seconds": table_seconds})
    platform = connect_platform(PlatformSettings(url, 5.0), "bench")
    committer = Committer(platform.table, most_in_batch)
    settler = Settler(committer, platform.table)
    claimant = Claimant("bench", 1)
    retention = Retention(platform.table, claimant, lambda: False)
    outcomes = OutcomeStore(platform.objects)
    claims = Claims(committer, settler, outcomes, claimant, retention, 60, metrics)
    committer.start()
    settler.start()
    name = f"{most_in_batch}-{table_seconds}"

    def work(number: int) -> float:
        began_at = time.monotonic()
        claimed = claims.open(ClaimKey("c", "s", f"{name}-{number}"), "f", 30.0)
        waited = time.monotonic() - began_at
        assert isinstance(claimed, Claimed)
        claims.keep(claimed, ANSWER)
        return waited

    began_at = time.monotonic()
    with ThreadPoolExecutor(WORKERS) as pool:
        waits = list(pool.map(work, range(CLAIMS)))
    elapsed = time.monotonic() - began_at
    settler.stop(10.0)
    committer.stop()
    cuts = quantiles(waits, n=100)
    return {
        "most_in_batch": most_in_batch,
        "table_ms": table_seconds * 1000,
        "claims_per_second": round(CLAIMS / elapsed, 1),
        "transactions_per_claim": round(committer.transactions / CLAIMS, 3),
        "rows_written_per_claim": 2,
        "claim_p50_ms": round(cuts[49] * 1000, 1),
        "claim_p95_ms": round(cuts[94] * 1000, 1),
    }


if __name__ == "__main__":
    main()
