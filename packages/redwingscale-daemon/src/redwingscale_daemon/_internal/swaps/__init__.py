"""Loads and unloads models by demand; one instance at a time gives the orders."""
