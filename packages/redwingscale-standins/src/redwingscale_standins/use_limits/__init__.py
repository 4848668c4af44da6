"""Simulation of instances that share the use limit of one workspace."""
