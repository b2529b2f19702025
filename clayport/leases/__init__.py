"""Decides when workers' leases may be renewed, and when users may be told of cancellations.

A task of a cancelled job must be gone within `cancel_s` after its user was told of the
cancellation. The task is gone when its worker has killed it, or when the lease of its machine
has expired. A controller therefore renews leases only while it knows every cancellation that
was disclosed to any user up to a recent time. It has the tasks of known cancelled jobs killed.

A controller learns of cancellations from two sources:

* The records. A controller that has read the records as of a time knows all cancellations
  that were committed before.
* Promises. A controller gives a promise to a peer. Until the promise expires, that controller
  tells users of a cancellation only if the peer has acknowledged the cancellation. Promises are
  renewed with the controllers' heartbeats. A promise stays binding across a restart, because a
  controller that starts assumes that its predecessor has just renewed its promises to all
  peers.

`promises` implements the side of the controller that tells users, and `watermark` the side of
the controller that renews leases. Neither does I/O; times are seconds of this process's
monotonic clock. `disclosure` notifies peers of cancellations, and delays answers to users until
the cancellations may be disclosed.
"""
