"""Tests of the placement of tasks."""
