"""Leases, claims and freshness: what VMs agree on without storing anything."""
