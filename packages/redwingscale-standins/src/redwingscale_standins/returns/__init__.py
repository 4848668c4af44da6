"""Simulation of refused callers that return through other instances."""
