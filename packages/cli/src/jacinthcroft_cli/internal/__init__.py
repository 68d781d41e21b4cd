"""Implementation of the commands of `jacinthcroft`."""
