"""The target of an attempt."""

from typing import NamedTuple

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.upstreams.directory import EngineView


class Route(NamedTuple):
    """An engine and the unit that is ready there, which the attempt must name."""

    view: EngineView
    unit: Unit
