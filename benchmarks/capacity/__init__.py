"""Generate the tables of the capacity page from measured lines."""
