"""The choice of a leader, and each VM's copy of the published state.

No list of VMs is published. VMs find each other through seeds, the hosts that
their settings name. One VM, the leader, decides for the VMs that follow it,
and any VM can take its place.
"""
