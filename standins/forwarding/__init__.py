"""Stand-ins of the users' platform, written from its published protocol."""
