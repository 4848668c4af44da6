"""Exit codes of ``redwingscale``."""

SUCCESS = 0
FINDINGS = 1
USAGE = 2
REFUSED = 3
CONFLICT = 4
UNREACHABLE = 5
