"""Where an attempt goes."""

from typing import NamedTuple

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.upstreams.directory import EngineView


class Route(NamedTuple):
    """The engine, and the unit that is ready there: the attempt must name this one."""

    view: EngineView
    unit: Unit
