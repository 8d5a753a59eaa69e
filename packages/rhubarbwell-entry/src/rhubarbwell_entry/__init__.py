"""The entry instance."""
