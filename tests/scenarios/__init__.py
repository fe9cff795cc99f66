"""Scripted fault scenarios and the invariants that they check."""
