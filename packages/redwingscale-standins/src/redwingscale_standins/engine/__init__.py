"""Engines of two vendors with dialects of their own over one model of their work."""
