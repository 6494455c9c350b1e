"""Tests of ``cyclamenscale.fleet.component``."""
