"""The slopes that the capacity page is worked out from."""

from benchmarks.lib.slope import Slope

_QUIET = {"entries_per_second": 0.0}
_ONE = {"instances": 1, "models": 4}
_FOUR_ENGINES = {"engines": 4, "models": 4}

SLOPES_BY_KEY = {
    "relay_cpu": Slope(
        "relay: processor time by tokens",
        "relay_cost",
        "tokens_relayed",
        "cpu_seconds",
        "s",
        {"arm": "instance"},
    ),
    "relay_memory": Slope(
        "relay: memory by open streams",
        "relay_cost",
        "streams",
        "memory_mb",
        "MB",
        {"arm": "instance"},
    ),
    "owner_cpu": Slope(
        "owner: processor time by engines owned",
        "control_cost",
        "engines",
        "cpu_percent_mean",
        "% of a core",
        _ONE,
    ),
    "owner_memory": Slope(
        "owner: memory by engines owned", "control_cost", "engines", "memory_mb_most", "MB", _ONE
    ),
    "owner_reads": Slope(
        "owner: reads of the table by engines",
        "control_cost",
        "engines",
        "reads_per_second",
        "reads/s",
        _ONE,
    ),
    "instance_reads": Slope(
        "reads of the table by instances",
        "control_cost",
        "instances",
        "reads_per_second",
        "reads/s",
        _FOUR_ENGINES,
    ),
    "instance_writes": Slope(
        "writes of the table by instances",
        "control_cost",
        "instances",
        "writes_per_second",
        "writes/s",
        _FOUR_ENGINES,
    ),
    "model_memory": Slope(
        "memory by listed models",
        "control_cost",
        "models",
        "memory_mb_most",
        "MB",
        {"instances": 1, "engines": 4},
    ),
    "member_bytes": Slope(
        "membership: bytes sent by instances of a quiet fleet",
        "membership",
        "instances",
        "bytes_sent_per_second",
        "B/s",
        _QUIET,
    ),
    "member_cpu": Slope(
        "membership: processor time by instances of a quiet fleet",
        "membership",
        "instances",
        "cpu_percent_of_a_core",
        "% of a core",
        _QUIET,
    ),
    "member_memory": Slope(
        "membership: memory by instances", "membership", "instances", "rss_megabytes", "MB", _QUIET
    ),
    "route_cpu": Slope(
        "routing: processor time by engines", "request_cost", "engines", "route_us", "us a request"
    ),
    "digest_cpu": Slope(
        "directory: processor time by engines",
        "request_cost",
        "engines",
        "digest_us",
        "us a digest",
    ),
    "planning": Slope(
        "planner: a plan after a tenfold move, by engines",
        "placement_time",
        "engines",
        "tenfold_s",
        "s",
    ),
}
