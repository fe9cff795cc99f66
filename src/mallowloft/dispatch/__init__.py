"""Dispatching of work to the replicas that an instance owns."""
