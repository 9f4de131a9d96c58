"""Tests of the gossip component."""
