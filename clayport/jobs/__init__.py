"""The jobs that this controller schedules: their state, commits and launches."""
