"""Model, validation, storage and distribution of the configuration."""
