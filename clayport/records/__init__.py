"""The records in the state service: their keys and values, the client and the replica."""
