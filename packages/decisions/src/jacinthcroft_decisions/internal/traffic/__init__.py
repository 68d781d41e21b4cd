"""Rate limits of teams, permits for targets, target health and quarantine.

- `bucket_limits` and the `token_*` modules enforce the rate limits of teams.
- `cell` and the modules that it combines (`permit_queue`, `slot_table`,
  `concurrency_limit`, `cell_health`) issue the permits for targets, at the VM
  that has the lease for the cell, which is the set of targets of one service.
- `permit_pool`, `token_pool`, `retry_budget`, `attempt_timeout` and
  `quarantine` are used by the VMs that send requests to targets.
"""
