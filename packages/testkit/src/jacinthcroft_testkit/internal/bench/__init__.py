"""The experiments of the bench."""
