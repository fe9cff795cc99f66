"""Benchmarks with regression bounds on virtual time, counts and ratios.

cost, slopes and bench_routes_cost measure processor time or memory and have no
bounds.
"""
