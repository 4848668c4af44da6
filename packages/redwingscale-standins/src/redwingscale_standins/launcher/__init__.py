"""Starts a whole deployment of stand-ins and instances on loopback."""
