"""Scripted scenarios with faults, and the invariants that must hold."""
