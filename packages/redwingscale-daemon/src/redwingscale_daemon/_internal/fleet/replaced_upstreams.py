"""What instances tell each other of upstreams whose address another process has."""

from collections.abc import Mapping

from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory


class ReplacedUpstreams:
    """Encodes them by id, with the address at which another process was found.

    A list that lags may name an address that its upstream has left: what was found there
    says nothing about the upstream at its new address.
    """

    def __init__(self, directory: UpstreamDirectory, health: Health) -> None:
        self._directory = directory
        self._health = health

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the replaced upstreams that are listed."""
        replaced = map(self._directory.get, self._health.replaced())
        return {one.id: _address(one) for one in replaced if one is not None}

    def receive(self, addresses: Mapping[str, str], source: str) -> None:
        """Take `addresses` of another instance."""
        for key, address in addresses.items():
            upstream = self._directory.get(key)
            if upstream is not None and _address(upstream) == address:
                self._health.note_replaced(key, source)


def _address(upstream: Upstream) -> str:
    return f"{upstream.host}:{upstream.port}"
