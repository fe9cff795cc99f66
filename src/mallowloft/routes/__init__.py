"""Opaque HTTP requests, forwarded by routes to replicas of services."""
