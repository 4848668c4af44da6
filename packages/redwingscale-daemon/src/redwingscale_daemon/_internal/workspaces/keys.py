"""Looks up the workspace of a caller's API key."""

import hashlib
from collections.abc import Mapping

from redwingscale_daemon._internal.workspaces.workspace import Workspace


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest under which ``key`` is stored and looked up."""
    return hashlib.sha256(key.encode("latin-1", "replace")).digest()


class WorkspaceKeys:
    """The API keys of one configuration version, by digest.

    The time of a lookup by digest reveals nothing about a key, and keys that are not
    stored cannot leak into logs or messages.
    """

    def __init__(self, workspaces_by_digest: Mapping[bytes, Workspace]) -> None:
        self.workspaces_by_digest = workspaces_by_digest
        self.limits_by_name = {
            one.name: one.limit for one in workspaces_by_digest.values() if one.limit
        }
        priorities = {one.priority for one in workspaces_by_digest.values()}
        self._rank_by_priority = {
            priority: rank for rank, priority in enumerate(sorted(priorities))
        }

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace of the key with ``digest``, or None for an unknown key."""
        return self.workspaces_by_digest.get(digest)

    def rank(self, workspace: Workspace) -> int:
        """Return how many of the configured priorities are more urgent than ``workspace``'s."""
        return self._rank_by_priority.get(workspace.priority, 0)

    @property
    def ranks(self) -> int:
        """Number of different priorities, at least 1."""
        return max(1, len(self._rank_by_priority))
