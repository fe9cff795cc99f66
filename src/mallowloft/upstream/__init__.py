"""Clients of upstream replicas."""
