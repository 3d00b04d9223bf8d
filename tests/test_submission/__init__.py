"""Tests of tickets, jobs and answers."""
