"""Helper functions, one module for each topic."""
