"""Tests of ``cyclamenscale.configuration.table``."""
