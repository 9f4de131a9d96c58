"""Tests of fescuekeel."""
