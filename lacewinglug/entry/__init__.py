"""The entry process: takes requests of callers and relays them to runners."""
