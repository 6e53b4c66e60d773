"""Reports on service-level objectives."""
