"""Simulation of requests of several ranks and workspaces that compete for places."""
