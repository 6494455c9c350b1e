"""Tests of ``cyclamenscale.fleet.role``."""
