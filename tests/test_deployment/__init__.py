"""Tests of what operators have put in force."""
