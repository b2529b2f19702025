"""Whether leases of workers may be renewed, and what users may be told of cancellations."""
