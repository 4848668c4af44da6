"""Plays of streams beside workers of two software versions."""
