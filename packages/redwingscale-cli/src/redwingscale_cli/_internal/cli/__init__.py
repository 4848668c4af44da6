"""The command line: options, dispatch of commands, output and exit codes."""
