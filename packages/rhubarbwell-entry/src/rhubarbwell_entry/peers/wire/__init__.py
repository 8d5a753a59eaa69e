"""Code generated from peers.proto; make proto brings it up to date."""
