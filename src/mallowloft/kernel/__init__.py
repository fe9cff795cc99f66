"""Plug-in registry, life cycle, time, settings, logs and metrics."""
