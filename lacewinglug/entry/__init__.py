"""Entry process: accepts requests of callers and relays them to runners."""
