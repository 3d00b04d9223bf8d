"""Tests of one entry that decides for several."""
