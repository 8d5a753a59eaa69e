"""Implement the entry instance, which passes requests to backend servers."""
