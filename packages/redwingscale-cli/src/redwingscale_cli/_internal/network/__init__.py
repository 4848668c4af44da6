"""Calls of the instances."""
