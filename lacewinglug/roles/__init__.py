"""Plans which role each engine plays: pure functions of typed state."""
