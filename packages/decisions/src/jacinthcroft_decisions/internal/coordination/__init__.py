"""Leases, claims and freshness: what VMs agree on without storing anything.

`placement` gives each shard its holder candidates and witnesses under a list
revision. `witness` votes: on leases (`leases`), on claims of idempotency keys
(`claim_votes`, `records`), and on which list is in force (`shard_memory`).
After a restart `recovery` reads back what was forgotten, and `check`
proves of other shards that nothing was. `coordinator` stands
for shards (`candidacy`, `holds`) and puts lists in force (`activation`,
`fence_round`, `survey`, `history`). `claims` is a claimer's side, `keys`
judges idempotency keys, `freshness` tells whether a VM may serve at all.

Why it is safe, and what the first draft of the protocol had missed:

* Two lists. A majority of the last list's witnesses is fenced before a new
  list is in force, and each of them tells every list that it was fenced for,
  with that list's witnesses. A driver that skipped a list, or whose
  predecessor died half-way, thus finds every list that may be in force.
* Forgotten fences. A restarted witness has forgotten what it was fenced for.
  It takes part in a list only once its memory is whole for that very list,
  also a list that it has never met, or once an earlier list in force proves
  that no later one had left a trace (`recovery`, `check`); fences count
  only when a majority of them came within the claim timeout, and those of
  several lists only when their rounds began within it.
* Forgotten records. Each witness knows the key time above which it can't
  have forgotten a claim. Drivers and restarted witnesses combine these times
  as they combine records, so lost memory makes keys unknown, never free.
* Leases over a change of list. The driver waits for the end of every other
  VM's lease; its own is protected by the vote that an installation brings.
  A witness that reads the new list back from another one has no such vote,
  so it votes for nobody until the driver's earlier lease must be over.
* Late messages. Lease requests are numbered, so a late release ends nothing
  that came after it. A released claim's name is kept, so a late copy of the
  claim is refused. Only replies within the claim timeout count for a claim.

What it relies on:

* Clocks run apart by less than the drift margin, and wall_time clocks differ by
  less than the clock skew.
* The platform stops a VM within the record retention of taking it off the
  list, and within the key retention it tells a VM that counts itself fresh
  of a newer list.
* A VM that starts learns the newest list and the earlier ones from its peers
  before it adopts one. When most witnesses of a shard lose their memory
  within one read-back, only the list that they then start with keeps an
  older one from coming back.
"""
