"""The serving core of an entry host: routes, placement, kept context, forwarding, orders."""
