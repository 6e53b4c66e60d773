"""Which hosts are live, and which of them a caller should use."""
