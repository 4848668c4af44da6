"""Code that the daemon, the operators' client and the stand-ins share."""

__version__ = "0.1.0"
