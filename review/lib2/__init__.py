"""Stand-ins and tools of the second review: one program for each case, with real controllers."""
