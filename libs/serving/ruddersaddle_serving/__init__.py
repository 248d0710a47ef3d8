"""Serving core of an entry host: routes, placement, cached context, forwarding, engine orders."""
