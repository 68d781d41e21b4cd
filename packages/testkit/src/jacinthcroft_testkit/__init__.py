"""Stand-ins, load, history checks, demo and bench."""
