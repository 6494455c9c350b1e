"""Tests of ``cyclamenscale.store``."""
