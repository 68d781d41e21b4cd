"""This VM's view of the fleet, and how it is updated."""
