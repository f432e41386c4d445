"""Stand-ins for the platform, upstreams and callers, used by tests and the demo."""
