"""Log lines about changes of the list of upstreams."""

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.upstream import Upstream


def log_changes(before: dict[str, Upstream], after: dict[str, Upstream], leaving: set[str]) -> None:
    """Log the upstreams that are new, those that are gone, and the ones in ``leaving``."""
    for key in after.keys() - before.keys():
        upstream = after[key]
        log_event(
            "upstream_seen",
            upstream=key,
            service=upstream.service,
            address=f"{upstream.host}:{upstream.port}",
            failure_domain=upstream.failure_domain,
            software=upstream.software,
        )
    for key in leaving:
        seconds_left = after[key].seconds_left
        log_event("upstream_leaving", upstream=key, seconds_left=seconds_left, source="list")
    for key in before.keys() - after.keys():
        log_event("upstream_gone", upstream=key, was_leaving=before[key].leaving)
