"""Tests of the forwarding of requests to minions."""
