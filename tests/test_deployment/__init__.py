"""Tests for the deployment package."""
