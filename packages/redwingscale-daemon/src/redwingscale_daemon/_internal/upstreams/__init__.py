"""Upstreams: directory, clients, reports, and one module for each vendor dialect."""
