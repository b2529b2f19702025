"""The records in the key-value store: keys, the client, and the replica in memory."""
