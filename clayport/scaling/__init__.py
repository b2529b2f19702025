"""Renting machines from the cloud and returning them."""
