"""Tests of links and messages."""
