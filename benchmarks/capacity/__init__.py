"""The capacity page, regenerated from measured lines."""
