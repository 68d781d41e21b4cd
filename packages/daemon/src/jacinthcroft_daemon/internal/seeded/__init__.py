"""A VM of a fleet without a VM list; VMs find each other through seeds."""
