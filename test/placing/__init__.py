"""Tests of ``cyclamenscale.placing``."""
