"""Team tokens, permits, target health and what protects targets.

`token_*` modules bound what a team spends; `cell` and the modules that it
joins (`ask_queue`, `slot_table`, `concurrency_limit`, `cell_health`) hand out
permits; `permit_purse`, `retry_budget` and `quarantine` work at the VMs.
"""
