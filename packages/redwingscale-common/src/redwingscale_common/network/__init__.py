"""HTTP in and out, by CherryPy and urllib3, set as every process needs them."""
