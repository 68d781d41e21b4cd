"""What a VM knows of the fleet, and how it stays current."""
