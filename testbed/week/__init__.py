"""Short weeks: membership, policy and replicated state together, with failures and with staff at work."""
