"""The rule for repeated requests, and plays on real processes that count them at the workers."""
