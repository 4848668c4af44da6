"""The size to design for, and the budgets beside which the page puts its sums."""

from typing import NamedTuple


class DesignSize(NamedTuple):
    """Counts and rates at the size to design for."""

    nodes: int = 370
    engines: int = 910
    models: int = 860
    failure_domains: int = 6
    requests_per_second: float = 2800.0
    tokens_per_second: float = 1_000_000.0
    changes_per_day: float = 1400.0
    node_failures_per_day: float = 22.0
    node_restarts_per_day: float = 240.0

    @property
    def tokens_per_node(self) -> float:
        """Tokens a second that one node relays."""
        return self.tokens_per_second / self.nodes

    @property
    def requests_per_node(self) -> float:
        """Requests a second that one node answers."""
        return self.requests_per_second / self.nodes

    @property
    def engines_per_node(self) -> float:
        """Engines that one node owns."""
        return self.engines / self.nodes

    @property
    def streams_per_node(self) -> float:
        """Streams open at a node when tokens come 39 ms apart."""
        return self.tokens_per_node * 0.039


class Budget(NamedTuple):
    """What control may cost a node, and what the platform serves."""

    cpu_percent: float = 2.7
    memory_mb: float = 128.0
    bytes_per_second: float = 3000.0
    reads_per_second: float = 2000.0
    writes_per_second: float = 300.0
    force_seconds: float = 14.0


DESIGN = DesignSize()
BUDGET = Budget()
