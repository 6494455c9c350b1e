"""Adapters for the users' platform; its protocols are used only here."""
