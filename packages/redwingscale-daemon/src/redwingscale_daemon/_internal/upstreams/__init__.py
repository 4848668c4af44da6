"""Upstreams: directory, reports, and one module for each vendor dialect."""
