"""The configuration set by operators: validation, changes, audit trail."""
