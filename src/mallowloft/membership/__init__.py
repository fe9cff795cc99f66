"""Membership of instances and the choice of dispatchers."""
