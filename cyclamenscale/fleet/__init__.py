"""Pool control: availability budgets, drains, roll-outs and moves."""
