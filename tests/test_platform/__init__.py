"""Tests of the adapter for the users' platform."""
