"""Stand-ins of the platform, upstreams and callers for tests and the demo."""
