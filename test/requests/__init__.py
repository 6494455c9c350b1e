"""Tests of ``cyclamenscale.requests``."""
