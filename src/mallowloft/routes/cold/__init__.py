"""Limits on the requests to replicas that have started recently."""
