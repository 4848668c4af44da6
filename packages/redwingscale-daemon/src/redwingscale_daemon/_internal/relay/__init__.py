"""Relays requests to upstreams: each is answered completely or refused."""
