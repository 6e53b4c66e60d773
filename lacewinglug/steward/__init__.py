"""Steward process: reads the log, monitors runners and updates the entry process."""
