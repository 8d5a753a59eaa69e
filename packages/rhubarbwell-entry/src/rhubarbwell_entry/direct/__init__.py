"""Direct forwarding to the backend servers of any region."""
