"""Scatter-gather queries with one snapshot and stated coverage."""
