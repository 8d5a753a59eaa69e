"""Deterministic simulation of routing decisions under load and faults."""
