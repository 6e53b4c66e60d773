"""An open-loop load and experiment tool."""
