"""Tests of the execution."""
