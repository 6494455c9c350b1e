"""Tests of ``cyclamenscale.members.members``."""
