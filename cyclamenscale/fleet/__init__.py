"""Pool control: budgets, drains, roll-outs and moves of instances."""
