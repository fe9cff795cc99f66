"""Limits the requests that run at once when replicas are overloaded."""
