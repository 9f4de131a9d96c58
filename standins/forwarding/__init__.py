"""Stand-ins for the platform, written from its published protocol."""
