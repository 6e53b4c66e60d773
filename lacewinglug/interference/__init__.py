"""Effect of prefills on the streams that run on the same engine."""
