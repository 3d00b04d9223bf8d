"""Tests of joint placement by a lead."""
