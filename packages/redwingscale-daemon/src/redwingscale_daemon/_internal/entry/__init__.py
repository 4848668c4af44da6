"""The HTTP API for callers."""
