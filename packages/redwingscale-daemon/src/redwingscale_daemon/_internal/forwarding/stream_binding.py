"""Which upstreams may go on with a stream."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.upstream import Upstream

SOFTWARE_GONE = "software_gone"
STREAM_UNKNOWN = "stream_unknown"
# A caller that cannot go on with a stream may begin it anew at once.
BEGIN_ANEW_SECONDS = 0.05


class NotServed(NamedTuple):
    """Why a stream cannot go on: the ``code`` of the refusal and its ``detail``."""

    code: str
    detail: str


class StreamBinding:
    """Binds a stream to the software version that wrote its first event for the caller.

    Before that event, any upstream may serve it. A stream of which the caller has events, but
    whose version is not known, goes on only where ``sole`` returns the one version that has
    served for as long as streams live.
    """

    def __init__(
        self,
        sole: Callable[[], str | None] = lambda: "",
        is_gone: Callable[[str], bool] = lambda software: True,
    ) -> None:
        # By default all upstreams are taken for one version.
        self._sole = sole
        # Whether a version that is not listed has no upstream any more.
        self._is_gone = is_gone
        # Whether the caller holds an event of the stream.
        self.begun = False
        # The version that wrote it, None if not known.
        self.software: str | None = None

    def bind(self, software: str | None) -> None:
        """Bind the stream, unless it is bound already."""
        if not self.begun:
            self.begun, self.software = True, software

    @property
    def required(self) -> str | None:
        """The version that goes on with a begun stream, None if none is known to."""
        return self._sole() if self.software is None else self.software

    def allows(self, upstream: Upstream) -> bool:
        """Return whether ``upstream`` may send the next event."""
        return self.allows_software(upstream.software)

    def allows_software(self, software: str | None) -> bool:
        """Return whether an upstream of version ``software`` may send the next event.

        One of an unknown version, asked by another instance, may if there is one version only.
        """
        if not self.begun:
            return True
        return self._sole() is not None if software is None else software == self.required

    @property
    def needs_telling(self) -> bool:
        """Whether an instance that goes on must be told the version."""
        return self.begun and self._sole() is None

    @property
    def awaited(self) -> str | None:
        """The version that a begun stream waits for, None if any other one may serve it."""
        return self.software if self.needs_telling else None

    def not_served(self, upstreams: Iterable[Upstream]) -> NotServed | None:
        """Return why none of the listed ``upstreams`` may go on with the stream, None if one may."""
        listed = list(upstreams)
        if not self.begun or not listed or any(map(self.allows, listed)):
            return None
        serving = ",".join(sorted({one.software or "-" for one in listed}))
        if self.software is None:
            return NotServed(
                STREAM_UNKNOWN, f"the version that began it is unknown, {serving} serve"
            )
        if not self._is_gone(self.software):
            return None
        return NotServed(SOFTWARE_GONE, f"it began at {self.software}, {serving} serve")
