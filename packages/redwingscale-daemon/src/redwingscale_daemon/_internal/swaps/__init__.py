"""Loads and unloads models by demand; one instance at a time, the leader, orders the swaps."""
