"""The state of this instance as the operators' HTTP API returns it."""

from typing import Any

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.leases.session import Session
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.settings.settings import InstanceSettings
from redwingscale_daemon._internal.upstreams.directory import Directory, EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight


class StateView:
    """Builds the response bodies of the operators' HTTP API that show state."""

    def __init__(
        self,
        instance: InstanceSettings,
        current: CurrentConfiguration,
        readiness: Readiness,
        session: Session,
        members: Members,
        heartbeats: PeerHeartbeats,
        directory: Directory,
        in_flight: InFlight,
    ) -> None:
        self._instance = instance
        self._current = current
        self._readiness = readiness
        self._session = session
        self._members = members
        self._heartbeats = heartbeats
        self._directory = directory
        self._in_flight = in_flight

    def status(self) -> dict[str, Any]:
        """Return readiness, configuration version, session and seconds of silence of each peer."""
        accepted = self._current.get()
        return {
            "instance": self._instance._asdict(),
            "ready": not self._readiness.reason(),
            "reason": self._readiness.reason(),
            "open_requests": self._readiness.open_requests,
            "configuration_version": accepted.pointer.version if accepted else 0,
            "session_valid": self._session.is_valid(),
            "peers": {
                m.id: self._heartbeats.silent_seconds(m.id) for m in self._members.instances()
            },
        }

    def models(self) -> dict[str, Any]:
        """Return the size of each unit to serve and the engines where it is resident."""
        accepted = self._current.get()
        units = accepted.configuration.serving_units() if accepted else {}
        return {
            str(unit): {
                "size_bytes": size,
                "engines": sorted(v.member.id for v in self._directory.engines_with(str(unit))),
            }
            for unit, size in units.items()
        }

    def upstreams(self) -> dict[str, Any]:
        """Return the load and the memory use of each engine by its id."""
        return {key: self._engine(view) for key, view in self._directory.engines().items()}

    def _engine(self, view: EngineView) -> dict[str, Any]:
        digest = view.digest
        return {
            "failure_domain": view.member.failure_domain,
            "vendor": view.member.vendor,
            "leaving": view.leaving,
            "in_flight_here": self._in_flight.count(view.member.id),
            "digest": digest._asdict() if digest else None,
        }
