"""Configuration versions: contracts, routes, and how processes follow them."""
