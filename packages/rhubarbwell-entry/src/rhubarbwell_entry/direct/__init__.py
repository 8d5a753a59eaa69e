"""Direct forwarding of requests to the backend servers of all regions."""
