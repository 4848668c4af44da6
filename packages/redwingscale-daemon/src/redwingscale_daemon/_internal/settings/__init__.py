"""The daemon's settings: JSON Schema, checks and typed classes."""
