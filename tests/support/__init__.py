"""Fakes for the environment of instances, on virtual time."""
