"""Plays loads beside faults, and prints the repeats, what is allowed, and what was served."""

import argparse
import tempfile
from pathlib import Path

from redwingscale_standins.repeats.faults import (
    FailedRequests,
    Freezes,
    HeldPaths,
    Joins,
    Kills,
    Replacements,
)
from redwingscale_standins.repeats.play import Play, play

RESETS = FailedRequests(reset=True)
PLAYS = {
    "replaced": Play(Replacements(0.5, 2.0)),
    "replaced-same-body": Play(Replacements(0.5, 2.0), same_body=True),
    "replaced-waves": Play(Replacements(5.0, 2.0, at_once=6)),
    "replaced-slowly": Play(Replacements(1.5, 1.0)),
    "rejects": Play(FailedRequests()),
    "retry-times": Play(FailedRequests(every=1, retry_after_seconds=3.0)),
    "resets": Play(RESETS),
    "kills": Play(RESETS, Kills(1.5)),
    "kills-at-once": Play(RESETS, Kills(6.0, at_once=6)),
    "freezes": Play(RESETS, Freezes(4.0)),
    "joins": Play(RESETS, Joins(4)),
    "joins-many": Play(RESETS, Joins(18)),
    "held-paths": Play(RESETS, HeldPaths(3.0)),
    "replaced-kills": Play(Replacements(0.5, 2.0), Kills(1.5)),
}


def main() -> None:
    """Play each of the plays named, as often as asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plays", nargs="*", metavar="PLAY", help=f"some of {', '.join(PLAYS)}")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--per-second", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--times", type=int, default=1)
    options = parser.parse_args()
    for name in options.plays or PLAYS:
        for _ in range(options.times):
            directory = Path(tempfile.mkdtemp(prefix="repeats-"))
            plan = PLAYS[name]._replace(
                instances=options.instances,
                per_second=options.per_second,
                seconds=options.seconds,
            )
            result = play(plan, directory)
            print(
                f"{name}: repeats {result.window.repeats} of {result.window.allowed:.0f},"
                f" {result.repeats} in all,"
                f" at another's address {result.elsewhere}, served {result.served}"
                f" of {result.statuses.total()}, {dict(result.statuses)}; logs in {directory}",
                flush=True,
            )


if __name__ == "__main__":
    main()
