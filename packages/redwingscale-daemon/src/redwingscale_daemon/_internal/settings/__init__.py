"""The daemon's settings: schema, checks, typed form."""
