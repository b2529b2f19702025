"""Which controllers take part: epochs, heartbeats, failure detection and failover."""
