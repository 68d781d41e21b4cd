"""Internal modules; import from the package's public modules instead."""
