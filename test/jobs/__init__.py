"""Tests of ``cyclamenscale.jobs``."""
