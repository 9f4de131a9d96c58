"""Stand-ins for outside systems: engines, services, stores and lists."""
