"""Platform adapters, stand-ins, service files and publishing."""
