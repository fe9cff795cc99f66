"""Stand-ins for the systems around mallowloft, for tests and the demo."""
