"""Plays of requests that share a part of their prompts, which may end the workers that run it."""
