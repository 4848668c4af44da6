"""Operators' API calls that read and change the configuration."""

from typing import Any

import msgspec
from redwingscale_common.configuration import check_text, load_accepted_text
from redwingscale_common.configuration.diff import diff_texts
from redwingscale_common.finding import Finding
from redwingscale_common.network.exchange import json_response, read_json
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Pointer, VersionedText
from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.configuration.memory_fit import MemoryFit, compute_memory_fit
from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.configuration.store import (
    Applied,
    ApplyConflict,
    ConfigurationStore,
)
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.upstreams.directory import Directory

MAX_BODY_BYTES = 16 << 20
CONFLICT = 409
UNPROCESSABLE = 422
NOT_FOUND = 404


class ApplyBody(msgspec.Struct):
    """A request to replace version ``base_version`` of the configuration by ``text``."""

    text: str
    base_version: int
    author: str = ""


class RollbackBody(msgspec.Struct):
    """A request to apply the text of an earlier ``version`` as a new version."""

    version: int
    base_version: int
    author: str = ""


class ConfigurationApi:
    """Handles every request under ``/configuration``."""

    def __init__(
        self,
        store: ConfigurationStore,
        current: CurrentConfiguration,
        versions: PeerVersions,
        members: Members,
        directory: Directory,
    ) -> None:
        self._store = store
        self._current = current
        self._versions = versions
        self._members = members
        self._directory = directory

    def dispatch(self, method: str, segments: tuple[str, ...]) -> bytes | None:
        """Return the body of the response, None if no call has this path.

        Raises `PlatformError` if the configuration store cannot be read or written.
        """
        match method, segments:
            case "GET", ():
                return self._show()
            case "GET", ("in-force",):
                return json_response(self._in_force())
            case "GET", ("history",):
                return json_response([p._asdict() for p in self._store.history()])
            case "GET", ("texts", digest):
                return json_response({"text": self._store.text(digest)})
            case "POST", ():
                body = msgspec.convert(read_json(MAX_BODY_BYTES), ApplyBody)
                return self._apply(body.text, body.base_version, body.author)
            case "POST", ("rollback",):
                return self._roll_back(msgspec.convert(read_json(MAX_BODY_BYTES), RollbackBody))
        return None

    def _show(self) -> bytes:
        pointer = self._store.pointer()
        if pointer is None:
            return json_response({"version": 0, "text": ""})
        return json_response(pointer._asdict() | {"text": self._store.text(pointer.digest)})

    def _in_force(self) -> dict[str, int]:
        return self._versions.versions([m.id for m in self._members.instances()])

    def _roll_back(self, body: RollbackBody) -> bytes:
        past = self._store.past_pointer(body.version)
        if past is None:
            return json_response({"error": f"there is no version {body.version}"}, NOT_FOUND)
        return self._apply(self._store.text(past.digest), body.base_version, body.author)

    def _apply(self, text: str, base_version: int, author: str) -> bytes:
        findings = check_text("configuration", text)
        if findings:
            return _findings_response(findings)
        fit = compute_memory_fit(
            load_accepted_text("configuration", text), self._directory.engines()
        )
        problem = fit.problem()
        if problem and fit.conclusive:
            return _findings_response([Finding("$.models", problem)], fit)
        match self._store.apply(text, base_version, author):
            case Applied(pointer=pointer, repeated=repeated):
                self._current.put_in_force(VersionedText(pointer, text))
                log_event("configuration_accepted", version=pointer.version, author=author)
                warnings = _warnings(problem, fit)
                extra = {"repeated": repeated, "warnings": warnings}
                return json_response(pointer._asdict() | extra)
            case ApplyConflict() as lost:
                log_event("configuration_conflict", base_version=base_version, author=author)
                return json_response(self._conflict(text, base_version, lost), CONFLICT)

    def _conflict(self, text: str, base_version: int, lost: ApplyConflict) -> dict[str, Any]:
        """Return the version in force and two differences, so that no operator's edit is lost.

        ``difference`` lists the changes from the version in force to the refused text,
        ``theirs`` the changes from the refused text's base version to the version in force.
        """
        current = lost.current or Pointer(0, "", "", "")
        in_force = self._text_of(lost.current)
        base = self._text_of(self._store.past_pointer(base_version))
        superseded = lost.superseded.version if lost.superseded else None
        return current._asdict() | {
            "error": f"version {current.version} is in force, not {base_version}",
            "text": in_force,
            "difference": [c._asdict() for c in diff_texts(in_force, text)],
            "theirs": [c._asdict() for c in diff_texts(base, in_force)],
            "superseded_version": superseded,
        }

    def _text_of(self, pointer: Pointer | None) -> str:
        return self._store.text(pointer.digest) if pointer else ""


def _findings_response(findings: list[Finding], fit: MemoryFit | None = None) -> bytes:
    body: dict[str, Any] = {"findings": [f._asdict() for f in findings]}
    if fit is not None:
        body["memory"] = fit._asdict()
    return json_response(body, UNPROCESSABLE)


def _warnings(problem: str, fit: MemoryFit) -> list[str]:
    if not problem:
        return []
    engines = ", ".join(fit.unreported) or "none is known yet"
    return [f"{problem}; accepted because not all engines have reported: {engines}"]
