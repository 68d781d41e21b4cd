"""Team tokens, permits, target health and what protects targets.

`token_*` modules bound what a team spends; `cell` and the modules that it
joins (`permit_queue`, `slot_table`, `ramp`, `cell_health`) hand out permits;
`permit_pool`, `retry_budget` and `quarantine` work at the VMs.
"""
