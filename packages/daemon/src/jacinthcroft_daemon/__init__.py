"""The process that runs on every VM."""
