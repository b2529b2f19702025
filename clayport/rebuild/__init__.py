"""Rebuilding the records after the state service has lost some of them.

`history` detects a loss, and keeps commits from resting on records that are gone; `evidence`
is what each controller still knows; `merge` and `chunk_merge` compute what the records have
to be, and `plan` divides the writes into transactions; `recovery` watches the history and
joins a new one, `rebuilder` carries a rebuild out, `inventory` asks the machines, and
`late_evidence` adds what a controller that was cut off knew.

`recorder` keeps snapshots of the records; `files` finds them in their directory, with their
format in `snapshot_format` and the two kinds of files in `snapshot_base` and `snapshot_log`;
`commands` is the command line, and `restore` puts a snapshot back. `docs/rebuild.md` has the
alternatives considered and what is provable.
"""
