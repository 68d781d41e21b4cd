"""Implementation of this package; import from the top level instead."""
