"""Evacuation of failure domains, and the return of load to them."""
