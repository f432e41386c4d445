"""Command line for operators of a fleet."""
