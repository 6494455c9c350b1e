"""Tests of ``cyclamenscale.members``."""
