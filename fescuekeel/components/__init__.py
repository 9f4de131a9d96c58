"""The components, each of which registers itself with the kernel."""
