"""Carries a request to upstreams and its answer back, whole or refused."""
