"""The steward process: follows the log, watches runners, informs the entry."""
