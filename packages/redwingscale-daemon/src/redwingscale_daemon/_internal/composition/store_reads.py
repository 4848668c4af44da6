"""The state of an instance's reads of the store."""

from typing import NamedTuple

from redwingscale_daemon._internal.store.link_state import LinkState


class StoreReads(NamedTuple):
    """Whether the list of upstreams and the configuration can be read, and their ages."""

    upstreams: LinkState
    configuration: LinkState
