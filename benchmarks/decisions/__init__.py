"""Processor time of single decisions."""
