"""Decides when attempts leave the failure domain, and how many of them."""
