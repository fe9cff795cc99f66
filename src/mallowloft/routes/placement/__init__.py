"""Outcomes and placement of gathered requests."""
