"""Tests of ``cyclamenscale.configuration``."""
