"""Tests of ``cyclamenscale.fleet``."""
