"""The node beside an upstream, for fleets that find each other through a store."""
