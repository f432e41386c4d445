"""Protocols and HTTP client for the platform's table service and object store."""
