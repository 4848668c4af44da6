"""Finds out whether a suspect path is lost, and when it works again."""

import threading
import time
from collections.abc import Callable, Collection, Mapping

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.own_path import DECIDING_UPSTREAMS, OwnPath
from redwingscale_daemon._internal.fleet.path_evidence import Evidence
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Most suspicions end sooner, with the next byte of an upstream, and peers need not be asked.
SETTLE_SECONDS = 0.03
# How often peers are asked while the path is suspect: they hear upstreams now and then.
CONFIRM_SECONDS = 0.1
# How often one upstream is probed while the path is lost.
PROBE_SECONDS = 0.4
# Failed probes after which the path is lost although no peer reaches upstreams either.
FAILED_PROBES = 4
# How late a peer may note a byte that it has received.
NOTED_LATE_SECONDS = 0.2
# While the path is suspect, so many are probed at once.
CONFIRMING_PROBES = 2

# Returns, by peer, which of some upstreams it heard since a monotonic time.
AskPeers = Callable[[Collection[str], float], Mapping[str, frozenset[str]]]


def _heard_since(evidence: Evidence) -> float:
    """Return the monotonic time from which bytes at a peer show that an upstream is alive.

    Upstreams that end together were heard by peers until then, and a busy peer notes late what it
    has received. Probes tell silent ones.
    """
    if evidence.silent:
        return evidence.since
    return evidence.noted_at + (NOTED_LATE_SECONDS if evidence.refused else 0.0)


class PathWatch:
    """Runs a thread from the first suspicion until the path is sound again.

    Peers that heard an upstream after this instance failed to reach it show that its own
    path is lost. While it is lost, one connection at a time tells when it works again, so
    that no caller's request has to.
    """

    def __init__(
        self,
        path: OwnPath,
        directory: UpstreamDirectory,
        ask_peers: AskPeers,
        probe: Callable[[Upstream], None],
        follow_peers: Callable[[float], bool] = lambda since: False,
        refused_at_peers: Callable[[], Collection[str]] = frozenset,
    ) -> None:
        # Returns the upstreams that refuse peers as well, by their last replies.
        self._refused_at_peers = refused_at_peers
        self._path = path
        self._directory = directory
        self._ask_peers = ask_peers
        # Sends one request to an upstream; an answer is noted by the path itself.
        self._probe = probe
        # Keeps the offers of peers current while requests are passed on; returns whether a
        # peer has heard an upstream since a monotonic time.
        self._follow_peers = follow_peers
        self._lock = threading.Lock()
        self._running = False
        # When each upstream was probed last, and those that answered or that peers hear.
        self._probed_at: dict[str, float] = {}
        self._likely: frozenset[str] = frozenset()
        self._failed_probes = 0

    def begin(self) -> None:
        """Start the thread unless it runs."""
        with self._lock:
            if self._running:
                return
            self._running = True
            self._failed_probes = 0
            self._probed_at, self._likely = {}, frozenset()
        threading.Thread(target=self._run, name="path-watch", daemon=True).start()

    def _run(self) -> None:
        time.sleep(SETTLE_SECONDS)
        while self._is_needed():
            try:
                pause = self.step()
            except Exception as error:
                # Without this thread, a path that works again would stay unused.
                log_event("step_failed", level="WARNING", task="path-watch", error=repr(error))
                pause = PROBE_SECONDS
            time.sleep(pause)

    def _is_needed(self) -> bool:
        with self._lock:
            self._running = self._path.doubtful
            return self._running

    def step(self) -> float:
        """Ask peers or probe an upstream once; return the seconds until the next step."""
        since = self._path.lost_since
        if since is not None:
            if self._follow_peers(since):
                self._path.note_reached_by_peers()
            # A second answer follows at once, so that the path is used again early.
            return 0.0 if self._is_probe_answered() else PROBE_SECONDS
        evidence = self._path.evidence()
        if evidence is not None:
            self._confirm(evidence)
        return CONFIRM_SECONDS

    def _confirm(self, evidence: Evidence) -> None:
        known = [one.id for one in self._directory.all()]
        since = _heard_since(evidence)
        heard_by_peer = self._ask_peers(known, since)
        self._likely = frozenset().union(*heard_by_peer.values())
        peers = [key for key, heard in heard_by_peer.items() if heard & evidence.upstreams]
        if peers and not evidence.silent:
            self._path.confirm_loss(evidence, peers)
            return
        # Upstreams that are only slow to answer requests do answer a probe.
        if self._is_probe_answered(CONFIRMING_PROBES):
            return
        refused_here = evidence.upstreams.difference(self._refused_at_peers())
        if evidence.refused and not peers and len(refused_here) < DECIDING_UPSTREAMS:
            # The processes of the others have ended; more of them may serve.
            return
        self._failed_probes += CONFIRMING_PROBES
        if peers or self._failed_probes >= FAILED_PROBES:
            self._path.confirm_loss(evidence, peers)

    def _is_probe_answered(self, count: int = 1) -> bool:
        """Probe the ``count`` upstreams that most likely answer; return whether one does."""
        known = self._directory.all()
        # Those that run models answer a probe without running anything.
        probed = [one for one in known if one.models_by_name] or known
        chosen = sorted(
            probed,
            key=lambda one: (
                one.id not in self._likely,
                self._probed_at.get(one.id, float("-inf")),
            ),
        )[:count]
        asked_at = time.monotonic()
        self._probed_at |= dict.fromkeys([one.id for one in chosen], asked_at)
        threads = [
            threading.Thread(target=self._probe, args=(one,), daemon=True) for one in chosen[1:]
        ]
        for thread in threads:
            thread.start()
        for upstream in chosen[:1]:
            self._probe(upstream)
        for thread in threads:
            thread.join()
        ids = frozenset(one.id for one in chosen)
        answered = frozenset(self._path.heard_since(ids, asked_at))
        # Those that peers hear but this instance does not are probed last from now on.
        self._likely = self._likely - ids | answered
        return bool(answered)
