"""What the benchmarks share."""
