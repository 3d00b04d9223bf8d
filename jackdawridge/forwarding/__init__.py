"""Forwarding of requests to minions with retries, hedging and admission."""
