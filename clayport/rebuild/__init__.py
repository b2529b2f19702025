"""Rebuilds the records after the state service has lost some of them.

`history` detects a loss and prevents commits that rely on lost records. `evidence` defines what
a controller sends to the peer that rebuilds, and `gather` collects it. `merge` and `chunk_merge`
compute the records, and `plan` divides the writes into transactions. `recovery` watches the
history and joins a new one, `rebuilder` carries out a rebuild, and `inventory` asks the machines
which tasks they hold. If a controller was disconnected during the rebuild, `late_evidence` adds
the records that only this controller knows.

`recorder` keeps snapshots of the records. `files` finds the snapshots in a directory;
`snapshot_format` defines the file format, and `snapshot_base` and `snapshot_log` read and write
the two kinds of files. `commands` is the command line, and `restore` writes a snapshot back to
the state service. `ports` and `support` are the interfaces between this package and the rest of
the controller. `docs/rebuild.md` discusses the alternatives and what can be proved.
"""
