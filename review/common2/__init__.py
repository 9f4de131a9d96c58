"""Stand-ins of the second review, on loopback addresses."""
