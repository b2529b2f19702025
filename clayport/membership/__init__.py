"""Membership of the controllers: epochs, heartbeats, failure detection and failover."""
