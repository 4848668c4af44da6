"""redwingscale: the operators' client."""
