"""Measured cost of each kind of controller work, and the capacity model computed from it."""
