"""Routing: the choice of the upstream for each attempt."""
