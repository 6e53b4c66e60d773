"""What an entry promises a caller: one whole answer, or a true refusal."""
