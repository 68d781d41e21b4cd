"""A proxy of the plain kind, which the bench compares with."""
