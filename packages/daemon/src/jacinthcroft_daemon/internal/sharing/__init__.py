"""What the VMs share: leases, claims, tokens, permits, quarantine."""
