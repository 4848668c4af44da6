"""State of the upstreams as this instance knows it: list, residency, load, health, limits."""
