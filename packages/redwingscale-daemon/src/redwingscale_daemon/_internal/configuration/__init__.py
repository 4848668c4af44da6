"""The configuration text of the operators: apply, distribution, history."""
