"""Benchmarks of the request path over real sockets."""
