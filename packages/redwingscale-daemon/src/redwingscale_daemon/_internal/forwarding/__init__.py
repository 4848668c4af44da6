"""Forwards callers' requests to upstreams and relays the responses."""
