"""Rebuilding the records after the state service has lost some of them.

`history` notices, and stands in the way of every commit that rests on a history that is
gone; `evidence` is what each controller still knows; `merge` says what the records have to
be and `plan` how they are written; `recovery` watches over the history and joins it,
`rebuilder` carries a rebuild out, `inventory` asks the machines, and `late_evidence` adds what
others could not know. `docs/rebuild.md` has the ways weighed and what is provable.
"""
