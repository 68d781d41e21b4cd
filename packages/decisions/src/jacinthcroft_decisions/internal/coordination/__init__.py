"""Leases, claims and freshness: agreement among VMs without stored data.

Resources, such as idempotency keys, are distributed over shards. One VM at a
time, the holder, may use a shard. Other VMs, its witnesses, vote on the
holder's lease and on claims of idempotency keys. All state is in memory only:
an incarnation of a VM, which lasts from one start to the next, begins
without any. "List" is short for a revision of the VM list.

`placement` assigns candidates for holder and witnesses to each shard under a
revision of the VM list. `witness` votes on leases (`witness_lease`), on
claims (`claim_votes`, `records`) and on which list is active (`shard_state`).
After a restart `recovery` reads back lost state, and `later_list_check` proves
for other shards that none was lost. `coordinator` is a candidate for shards
(`candidacy`, `candidate_lease`) and activates lists (`activation`,
`fence_round`, `predecessor_search`, `placement_history`, `history_query`).
`claims` is the claimer's side, `idempotency_keys` checks callers' keys, and
`freshness` decides whether a VM may serve requests at all.

A list is active for a shard once a majority of its witnesses there is
installed; the candidate that activates it is its driver. A witness that is
fenced at a revision refuses all lower ones. Its state is whole for a list if
it can't have forgotten a vote under that list.

The protocol covers these cases:

* Two lists. A majority of the previous list's witnesses is fenced before a
  new list is active, and each of them reports every list that it was fenced
  for, with that list's witnesses. So a driver that missed a list, or whose
  predecessor stopped during an activation, still finds every list that may be
  active.
* Forgotten fences. A restarted witness has forgotten its fences. It takes
  part in a list, even one that it has never seen, only once its state is whole
  for that very list, or once an earlier active list proves that no later list
  was active (`recovery`, `later_list_check`). Fences count only if those of a
  majority arrive within the claim timeout, and fences of several lists only if
  their rounds began within it.
* Forgotten records. Each witness knows the key time above which it can't have
  forgotten a claim. Drivers and restarted witnesses combine these times as
  they combine records, so lost state makes keys unknown, never free.
* Leases across a change of list. The driver waits for the end of every other
  VM's lease; its own is protected by the vote that an installation implies. A
  witness that reads the new list back from another witness has no such vote,
  so it votes for nobody until the driver's earlier lease must have ended.
* Late messages. Lease requests are numbered, so a late release does not end a
  lease acquired after it. The names of released claims are kept, so a late
  copy of such a claim is refused. Only replies that arrive within the claim
  timeout count for a claim.

The protocol relies on these conditions:

* Clocks drift apart by less than the drift margin, and wall clocks differ by
  less than the clock skew.
* The platform stops a VM within the record retention after taking it off the
  list. Within the key retention it tells each VM that counts itself fresh
  about a newer list.
* A VM that starts learns the newest list and the earlier ones from its peers
  before it adopts one. If most witnesses of a shard lose their state within
  one read-back, only the list that they then start with prevents an older one
  from becoming active again.
"""
