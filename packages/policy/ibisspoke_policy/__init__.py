"""Admission, quota, routing and membership decisions without I/O."""
