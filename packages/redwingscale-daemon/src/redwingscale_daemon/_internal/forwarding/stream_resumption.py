"""Decides where a stream that its caller takes up again may go on."""

from collections.abc import Callable
from functools import partial

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.software_versions import SoftwareVersions
from redwingscale_daemon._internal.forwarding.stream_binding import (
    BEGIN_ANEW_SECONDS,
    SOFTWARE_GONE,
    STREAM_UNKNOWN,
    StreamBinding,
)
from redwingscale_daemon._internal.forwarding.stream_origins import (
    MAX_ID_CHARACTERS,
    Found,
    StreamOrigins,
)
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route

SERVICE_CHANGED = "service_changed"


class StreamResumption:
    """Finds how a stream began: here, as told by another instance, or by asking the others.

    What is not known is not guessed: unless all workers have had one version for as long as a
    stream can live, a stream whose begin is unknown is refused at once. That they had is only
    known of a list that was read after the stream was taken up: it may have begun at an upstream
    that was listed a moment before.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        versions: SoftwareVersions,
        on_result: Callable[[str], None] = lambda result: None,
        confirm_list: Callable[[], bool] = lambda: True,
    ) -> None:
        self._origins = origins
        self._versions = versions
        # Counts a stream that was taken up, by how its origin is known or why it is refused.
        self._on_result = on_result
        # Waits for a list that is read from now on; returns whether it is in use.
        self._confirm_list = confirm_list

    def binding(self, service: str) -> StreamBinding:
        """Return the binding of a stream of ``service`` that has not begun."""
        return StreamBinding(
            lambda: self._versions.sole(service), partial(self._versions.is_gone, service)
        )

    def find(self, route: Route, terms: Terms, workspace: str) -> Found | None:
        """Return how the stream of a request began, None for a new stream; raises `Refusal`."""
        if terms.last_event is None or route.idempotency is not Idempotency.STREAM:
            return None
        services = [one.service for one in route.services]
        found = self._find(services, terms, workspace)
        if found is None:
            raise self._refused(terms, STREAM_UNKNOWN, "no instance knows how it began", services)
        if found.service not in services:
            detail = f"it began at {found.service}, which the route no longer has"
            raise self._refused(terms, SERVICE_CHANGED, detail, services)
        if self._versions.is_gone(found.service, found.software):
            detail = f"it began at {found.software}"
            raise self._refused(terms, SOFTWARE_GONE, detail, services)
        self._on_result(found.source)
        log_event(
            "stream_resumed",
            request=terms.request_id,
            service=found.service,
            software=found.software,
            known=found.source,
            age=round(found.age, 3),
            serving=self._serving([found.service]),
        )
        return found

    def note_begun(
        self, request: str, workspace: str, service: str, software: str, *, tell: bool
    ) -> None:
        """Note the version whose first event the caller is sent next."""
        self._origins.note(workspace, request, service, software, tell=tell)

    def _find(self, services: list[str], terms: Terms, workspace: str) -> Found | None:
        name = terms.resumed_request or ""
        named = 0 < len(name) <= MAX_ID_CHARACTERS and name != terms.request_id
        if named and (known := self._origins.known(workspace, name)) is not None:
            return known
        if named and (asked := self._origins.ask(workspace, name)) is not None:
            return asked
        sole = self._confirmed_sole(services[0]) if len(services) == 1 else None
        if sole is None:
            return None
        if named:
            self._origins.note(workspace, name, services[0], sole, tell=False)
        return Found(services[0], sole, "sole", 0.0)

    def _confirmed_sole(self, service: str) -> str | None:
        # Without the wait where it would not help.
        if self._versions.sole(service) is None or not self._confirm_list():
            return None
        return self._versions.sole(service)

    def _refused(self, terms: Terms, code: str, detail: str, services: list[str]) -> Refusal:
        self._on_result(code)
        log_event(
            "stream_rejected",
            request=terms.request_id,
            reason=code,
            detail=detail,
            resumes=terms.resumed_request[:MAX_ID_CHARACTERS] if terms.resumed_request else "-",
            serving=self._serving(services),
            known_for=round(self._versions.known_seconds, 1),
        )
        return Refusal(503, code, detail, retry_after_seconds=BEGIN_ANEW_SECONDS)

    def _serving(self, services: list[str]) -> str:
        return ",".join(
            sorted(
                software or "-"
                for service in services
                for software in self._versions.remembered(service)
            )
        )
