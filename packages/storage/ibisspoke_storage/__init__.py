"""Protocols and HTTP adapter of the table service and object store."""
