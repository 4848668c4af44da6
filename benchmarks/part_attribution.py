"""Compares ways to find the part of prompts that ends workers, on one simulated load.

Requests that share a bad part and nothing else come beside sound ones that share all other parts,
while workers are killed as well. Prints how many workers ended under the bad part, how many sound
requests were refused or had to wait, and how many sound parts were condemned.
"""

import itertools
from functools import partial

import typer
from redwingscale_daemon._internal.quarantine.part_record import PartCrash
from redwingscale_daemon._internal.quarantine.part_shares import PartCounts, PartShares
from redwingscale_daemon._internal.quarantine.part_suspects import PartSuspects

from benchmarks.lib.part_play import QUEUED_SECONDS, SETTLE_SECONDS, Load, Play, Run, Way

WAYS = (
    Way("count 3", survivors=False),
    Way("intersection without survivors, 2", 2),
    Way("intersection without survivors, 3"),
    Way("likelihood ratio 1000", 1, ratio=1000.0),
    Way("best likelihood ratio 1000, 2", 2, ratio=1000.0, best=True),
    Way("best likelihood ratio 1000, 3", ratio=1000.0, best=True),
    Way("turns for all suspects, 3", turns=True),
    Way("turns for unfamiliar suspects, 2", 2, turns=True, unfamiliar=True),
    Way("turns for unfamiliar suspects, 3", turns=True, unfamiliar=True),
    Way("the same with the best ratio", turns=True, unfamiliar=True, ratio=1000.0, best=True),
    Way("as built", turns=True, built=True),
)


LOADS = (
    *(Load(bad_per_second=rate) for rate in (0.5, 2.0, 20.0)),
    *(Load(share=share) for share in (0.01, 0.1, 0.6)),
    *(Load(instances=count, news_seconds=news) for count, news in ((3, 0.1), (60, 0.6))),
    *(Load(share=share, kill_every_seconds=0.4) for share in (0.1, 0.3, 0.5)),
)


class _Instance:
    """What one instance knows of parts, by the clock of a play."""

    def __init__(self, play: "Play") -> None:
        def clock() -> float:
            return play.now

        self.counts = PartCounts(PartShares(clock), PartShares(clock))
        self.suspects = PartSuspects(self.counts, clock)


class BuiltPlay(Play):
    """A play in which the instances judge as they do in production."""

    def __init__(self, way: Way, load: Load, seed: int) -> None:
        super().__init__(way, load, seed)
        self.built = [_Instance(self) for _ in range(load.instances)]

    def _note_arrival(self, parts: tuple[str, ...], instance: int) -> None:
        self.built[instance].counts.arrivals.note(parts)

    def _is_gated(self, part: str, instance: int) -> bool:
        return self.built[instance].suspects.needs_turn(part)

    def _note_survivor(self, run: Run) -> None:
        self.built[run.instance].counts.survivors.note(run.parts)
        begun_at = run.sent_at + QUEUED_SECONDS
        for part in [*self.built[run.instance].suspects.survived(run.parts, begun_at)]:
            for number, one in enumerate(self.built):
                news = 0.0 if number == run.instance else self.load.news_seconds
                self.at(news, partial(one.suspects.clear, part))

    def _note_end(self, begun: list[Run]) -> None:
        end = next(self.order)
        for number, run in enumerate(begun):
            noter = self.built[run.instance]
            noter.suspects.note_ended(run.parts)
            counts = tuple(map(noter.suspects.count_before, run.parts))
            key = f"{end}/{number}"
            origin = str(run.instance)
            crash = PartCrash(str(end), key, key, run.parts, True, self.now, origin, counts)
            for other in self.built:
                news = 0.0 if other is noter else self.load.news_seconds
                self.at(news, partial(self._take, other, crash))
            self.at(SETTLE_SECONDS, partial(self._judge, noter, crash))

    def _take(self, instance: "_Instance", crash: PartCrash) -> None:
        if known := self.condemned.intersection(crash.parts):
            instance.suspects.note_cause(min(known), [crash.engine])
        else:
            instance.suspects.add(crash)

    def _judge(self, noter: "_Instance", crash: PartCrash) -> None:
        verdict = noter.suspects.verdict(crash.parts)
        if verdict is not None and verdict.part not in self.condemned:
            self.condemned.add(verdict.part)
            for one in self.built:
                one.suspects.clear(verdict.part)
                one.suspects.note_cause(verdict.part, verdict.engines)


def main(seeds: int = 40) -> None:
    """Print the means over ``seeds`` plays of each way on each load, and the most that ended."""
    typer.echo("load; way: ended (most), sound refused, sound that waited, sound parts condemned")
    for load, way in itertools.product(LOADS, WAYS):
        kind = BuiltPlay if way.built else Play
        results = [kind(way, load, seed).play() for seed in range(seeds)]
        means = [sum(column) / seeds for column in zip(*results, strict=True)]
        most = max(one.ended for one in results)
        figures = ", ".join(f"{mean:.1f}" for mean in means[1:])
        typer.echo(f"{tuple(load)}; {way.name}: {means[0]:.1f} ({most}), {figures}")


if __name__ == "__main__":
    typer.run(main)
