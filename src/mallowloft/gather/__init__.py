"""Scatter-gather queries that use one index version and report coverage."""
