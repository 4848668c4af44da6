"""HTTP server for requests that are forwarded byte for byte."""
