"""The streaming proxy between callers and backend servers."""
