"""Tests for the membership package."""
