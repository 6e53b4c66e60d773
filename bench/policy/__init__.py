"""The policy under a seeded load on virtual time, beside baselines and bounds."""
