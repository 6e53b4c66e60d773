"""Who may give orders to runners, decided by the order of records in the log."""
