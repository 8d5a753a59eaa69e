"""Measure the request path over real sockets."""
