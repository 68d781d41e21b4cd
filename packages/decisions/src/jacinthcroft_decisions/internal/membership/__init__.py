"""Who decides for whom, and what is known of the published documents.

No list of VMs is published. VMs find each other through seeds, one of them
decides for those that follow it, and any of them can take its place.
"""
