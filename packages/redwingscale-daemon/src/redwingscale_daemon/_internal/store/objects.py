"""The platform's object store, whose keys contain the digest of the content."""

from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.store.http import PlatformHttp

NOT_FOUND = 404


class Objects:
    """Reads and writes whole objects; writing the same content again is idempotent."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def put(self, key: str, data: bytes) -> None:
        """Store ``data``; raise `PlatformUnavailable` or `WriteUnknown`."""
        self._http.send("PUT", f"/objects/{key}", data)

    def get(self, key: str) -> bytes:
        """Return the object; raise `PlatformUnavailable` if it is missing or unreadable."""
        response = self._http.get(f"/objects/{key}")
        if response.status == NOT_FOUND:
            raise PlatformUnavailable(f"no object {key}")
        return response.body
