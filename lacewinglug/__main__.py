"""Runs the command line: ``python -m lacewinglug``."""

from lacewinglug.ui import main

main(prog_name="lacewinglug")
