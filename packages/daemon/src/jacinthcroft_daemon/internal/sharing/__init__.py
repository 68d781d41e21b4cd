"""State that the VMs share: leases, claims, tokens, permits, quarantine."""
