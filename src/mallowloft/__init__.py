"""A query tier over many index shards."""

__version__ = "0.1.0"
