"""Stand-ins and helpers of the cases."""
