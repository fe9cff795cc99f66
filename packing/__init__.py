"""Builds the program as one executable file."""
