"""The decision logic of jacinthcroft: no I/O, and callers pass the time."""
