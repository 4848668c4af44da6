"""Callers whose new connections mostly go to one instance."""
