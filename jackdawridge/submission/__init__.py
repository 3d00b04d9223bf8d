"""Tickets, jobs, answers and cancellation at an entry."""
