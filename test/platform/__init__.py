"""Tests of ``cyclamenscale.platform``."""
