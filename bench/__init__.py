"""Benchmarks with regression bounds on virtual time, counts and ratios."""
