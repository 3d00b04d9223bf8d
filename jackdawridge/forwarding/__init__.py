"""Requests passed on to minions, with retries and limits."""
