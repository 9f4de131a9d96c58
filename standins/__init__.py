"""Stand-ins for the platform: engine, plain service, stores and lists."""
