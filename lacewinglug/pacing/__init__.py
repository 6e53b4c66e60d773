"""How much work a runner gets that has just started or recovered."""
