"""Simulation of instances that keep the rate limit of one upstream."""
