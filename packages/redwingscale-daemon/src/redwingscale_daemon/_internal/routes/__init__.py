"""Which service a request goes to, and under which rules."""
