"""Quarantine of requests that crash upstreams."""
