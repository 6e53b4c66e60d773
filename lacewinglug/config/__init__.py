"""The fleet's configuration: named objects, their checks and their revisions."""
