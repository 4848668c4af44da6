"""Engine stand-in: one simulated engine behind the HTTP dialects of two vendors."""
