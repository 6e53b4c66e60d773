"""Usage of the organisations: counts, decisions and reports."""
