"""The command line: parser, base command, status codes."""
