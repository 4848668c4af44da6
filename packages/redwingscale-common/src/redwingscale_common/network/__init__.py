"""HTTP server and client, CherryPy and urllib3 with the settings that all processes share."""
