"""A plot of one fitted slope."""

from pathlib import Path

import matplotlib as mpl

from benchmarks.lib.slope import Fitted

mpl.use("svg")
mpl.rcParams["svg.hashsalt"] = "redwingscale"


def plot_slope(fitted: Fitted, file: Path) -> None:
    """Write the points and the line of ``fitted`` to ``file`` as SVG."""
    from matplotlib import pyplot

    xs = [x for x, _ in fitted.points]
    figure, axes = pyplot.subplots(figsize=(5, 3))
    axes.plot(xs, [y for _, y in fitted.points], "o")
    axes.plot(sorted(xs), [fitted.line.at(x) for x in sorted(xs)], "-")
    axes.set_title(fitted.slope.name, fontsize=9)
    axes.set_xlabel(fitted.slope.x)
    axes.set_ylabel(fitted.slope.unit)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)
