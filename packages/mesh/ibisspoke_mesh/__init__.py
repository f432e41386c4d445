"""Sidecar node of an upstream; the nodes of a fleet find each other through a store."""
