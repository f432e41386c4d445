"""Stand-ins of a small deployment, with the standard library only."""
