"""The callers' port for requests that are passed on byte for byte."""
