"""Metrics, traces and their export."""
