"""Tests of requests to minions."""
