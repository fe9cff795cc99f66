"""Non-idempotent requests that run at most once."""
