"""Condemns parts of prompts, once it is shown that they end upstreams."""

import threading
from collections.abc import Callable, Iterable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.quarantine.part_board import KEY_PREFIX
from redwingscale_daemon._internal.quarantine.part_record import PartCrash, PartVerdict
from redwingscale_daemon._internal.quarantine.part_suspects import SUSPICION_SECONDS, PartSuspects
from redwingscale_daemon._internal.quarantine.shared_records import SharedRecords
from redwingscale_daemon._internal.quarantine.store import QuarantineSaver, StoredQuarantine
from redwingscale_daemon._internal.quarantine.turns import SETTLE_SECONDS

MAX_LOGGED_RATIO = 1_000_000


class PartVerdicts:
    """Judges the parts of crashes that this instance has seen itself.

    Its methods are called with the lock of ``shared`` held.
    """

    def __init__(
        self,
        suspects: PartSuspects,
        shared: SharedRecords,
        store: QuarantineSaver,
        count: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._suspects, self._shared, self._store = suspects, shared, store
        self._count, self._clock = count, clock
        # When this instance has seen a crash with each part last.
        self._seen_at: dict[str, float] = {}

    def note_seen(self, parts: Iterable[str]) -> None:
        """Note that this instance has seen a crash with ``parts``."""
        self._seen_at |= dict.fromkeys(parts, self._clock())

    def drop_old(self) -> None:
        """Judge parts no longer whose last crash is long ago."""
        oldest = self._clock() - SUSPICION_SECONDS
        self._seen_at = {part: at for part, at in self._seen_at.items() if at > oldest}

    def _is_refused(self, part: str) -> bool:
        return self._shared.quarantined.seconds_left(KEY_PREFIX + part) > 0

    def _is_quarantined(self, part: str) -> bool:
        return self._shared.quarantined.known(KEY_PREFIX + part)

    def log_suspected(self, part: str, crash: PartCrash) -> None:
        """Log that a part of ``crash`` has become suspect."""
        self._count("suspect")
        suspicion = self._suspects.suspicion(part)
        log_event(
            "part_suspected",
            level="WARNING",
            part=part,
            request=crash.request_id,
            upstream=crash.engine,
            began=crash.began,
            ratio=round(suspicion.ratio, 1) if suspicion else "-",
            share=round(suspicion.share, 4) if suspicion else "-",
            others=len(crash.parts) - 1,
        )

    def judge(self, crash: PartCrash) -> None:
        """Condemn the part of ``crash`` that is shown to be the cause, if there is one."""
        if not self._seen_at.keys() & set(crash.parts):
            return
        if any(map(self._is_refused, crash.parts)):
            # Judged meanwhile.
            return
        on_probation = next(filter(self._is_quarantined, crash.parts), None)
        if crash.began and on_probation is not None:
            self._condemn(
                PartVerdict(on_probation, (crash.engine,), 1, float(MAX_LOGGED_RATIO), 0.0, 1)
            )
            return
        verdict = self._suspects.verdict(crash.parts)
        if verdict is None:
            return
        unheard = self._suspects.seconds_suspect(verdict.part) - SETTLE_SECONDS
        if unheard < 0:
            # Survivors, and shares at other instances, are not known yet.
            timer = threading.Timer(-unheard, self._judge_later, [crash])
            timer.daemon = True
            timer.start()
            return
        self._condemn(verdict)

    def _judge_later(self, crash: PartCrash) -> None:
        with self._shared.changed:
            self.judge(crash)

    def _condemn(self, verdict: PartVerdict) -> None:
        key = KEY_PREFIX + verdict.part
        seconds = self._shared.quarantined.next_seconds(key)
        quarantine = StoredQuarantine(key, seconds, verdict.engines)
        self._count("condemned")
        log_event(
            "part_condemned",
            level="ERROR",
            part=verdict.part,
            died=",".join(verdict.engines),
            requests=verdict.requests,
            ratio=min(round(verdict.ratio), MAX_LOGGED_RATIO),
            share=round(verdict.share, 4),
            ends=verdict.ends,
            seconds=seconds,
        )
        self._shared.publish_quarantine(quarantine)
        self._store.save(quarantine)
