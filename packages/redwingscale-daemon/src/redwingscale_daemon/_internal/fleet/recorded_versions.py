"""What the leader's row says of software versions, and what it may lack."""

from collections.abc import Callable

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.fleet.removed_upstreams import RemovedUpstreams
from redwingscale_daemon._internal.fleet.software_versions import SoftwareRecord, SoftwareVersions
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.store.rows import RowStore, StoredRow
from redwingscale_daemon._internal.store.store_eras import UNTOLD_ERA
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.utils.documents import decode_json

# Before the first leader of a deployment, no stream has begun anywhere.
NEVER_SERVED_SECONDS = 1e6
_NO_ERA = -1
# The row has room for 64 KB in base64. Without their names, upstreams that were removed are taken
# for ones that came and went.
MAX_NAMES_BYTES = 24 << 10


class VersionsRow(SoftwareRecord):
    """The fields of the leader's row.

    ``software`` holds for the list of upstreams as of transaction ``software_list`` of
    ``software_era``, which named ``software_upstreams``; these are empty if they are too many.
    """

    software_era: int = _NO_ERA
    software_list: int = 0
    software_upstreams: list[str] = []


class RecordedVersions:
    """Writes what is known of versions into the leader's row, and takes it over at a start.

    An upstream may have been listed after the row was written, and be gone before a process
    starts that reads it: if all instances were killed meanwhile, nobody knows its version. What
    was removed since the list of the row shows whether there was one. A row from before the
    store's return from a copy may lack more than that, as the copy may.
    """

    def __init__(
        self, versions: SoftwareVersions, directory: UpstreamDirectory, store: RowStore, table: str
    ) -> None:
        self._versions = versions
        self._directory = directory
        self._removed = RemovedUpstreams(store, table)
        # Called when the row of a former leader has been taken over.
        self.on_taken: Callable[[], None] = lambda: None

    def record(self) -> VersionsRow:
        """Return what the row is to say."""
        copy = self._directory.copy
        known = self._versions.record()
        ages = {service: dict(by_software) for service, by_software in known.software.items()}
        for one in copy.by_id.values():
            if one.software is not None:
                ages.setdefault(one.service, {})[one.software] = 0.0
        return VersionsRow(
            ages,
            known.software_known_seconds,
            copy.version.era,
            copy.version.number,
            _fitting(sorted(one.platform_name for one in copy.by_id.values())),
        )

    def take_row(self, row: StoredRow | None, era: int) -> None:
        """Take over what the row says that was read in ``era``; None if there is no row."""
        if row is None:
            # The copy may be older than the first leader.
            if era == UNTOLD_ERA:
                self._versions.take_over(SoftwareRecord({}, NEVER_SERVED_SECONDS))
            return
        try:
            record = decode_json(row.value or b"{}", VersionsRow)
        except msgspec.DecodeError as error:
            log_event("software_row_invalid", level="WARNING", error=error)
            return
        missed = self._missed(record, era)
        if missed:
            log_event("software_row_incomplete", level="WARNING", reason=missed)
            record.software_known_seconds = 0.0
        self._versions.take_over(record)
        self.on_taken()

    def _missed(self, record: VersionsRow, era: int) -> str:
        """Return why a version may have served that the row does not name, empty if none has."""
        if record.software_era != era:
            return f"written in era {record.software_era}, read in era {era}"
        try:
            removed = self._removed.since(StoreVersion(era, record.software_list))
        except PlatformError as error:
            return f"changes of the list are not known: {error!r}"
        unknown = removed.difference(record.software_upstreams)
        return f"upstreams came and went: {','.join(sorted(unknown))}" if unknown else ""


def _fitting(names: list[str]) -> list[str]:
    return names if sum(map(len, names)) <= MAX_NAMES_BYTES else []
