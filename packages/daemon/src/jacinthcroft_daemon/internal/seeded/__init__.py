"""A VM of a fleet that finds itself through seeds, with no VM list."""
