"""Generate the tables of the capacity page from lines fitted to measurements."""
