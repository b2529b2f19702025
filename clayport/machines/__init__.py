"""The machines that this controller owns: their state, their reports and their commands."""
