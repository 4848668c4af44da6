"""The planner, and the owners that load and unload models on engines."""
