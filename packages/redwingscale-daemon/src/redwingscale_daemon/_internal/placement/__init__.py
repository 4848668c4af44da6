"""Planner, memory ledger and orders to engines."""
