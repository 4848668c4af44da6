"""redwingscaled: the process that every instance runs."""
