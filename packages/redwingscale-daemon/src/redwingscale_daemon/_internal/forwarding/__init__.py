"""Sends a request to upstreams and brings the answer back."""
