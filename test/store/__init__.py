"""Tests of ``cyclamenscale.store.port``."""
