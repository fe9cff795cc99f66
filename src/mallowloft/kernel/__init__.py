"""Kernel: plug-in registry, lifecycle, time, settings, logs and metrics."""
