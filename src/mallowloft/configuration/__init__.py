"""Configuration: model, acceptance, store and its distribution."""
