"""What a controller spends on each kind of work, measured, and what that means at a given size."""
