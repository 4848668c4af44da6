"""The accepted operators' text: apply, distribution, history."""
