"""When the leases of workers may be renewed, and when users may be told of cancellations.

A task of a cancelled job must be gone within `cancel_s` of the moment in which its user was
told of the cancellation. It is gone when its worker has killed it, or when the lease of its
machine has expired. So a controller renews a lease only as long as it knows every cancellation
that any user was told of before a recent moment; the tasks of those that it knows, it has had
killed.

A controller knows of cancellations from two sources:

* The records. A controller that has read them as they were at a time knows all that was
  committed before.
* Promises. A promise is a time-limited undertaking of one controller towards another to
  disclose no cancellation to users that the other has not acknowledged. Controllers renew
  their promises with their heartbeats. A promise binds its giver until it expires, also across
  a restart: a controller that starts assumes that its predecessor has just promised everything
  to everybody.

`promises` has the side of the controller that tells users, `watermark` the side of the one
that renews leases. Neither does I/O; times are seconds of this process's monotonic clock.
`disclosure` has peers acknowledge cancellations, and has answers to users wait for that.
"""
