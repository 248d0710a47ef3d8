"""Regions: where requests and their cached parts may be, and what crosses the link between."""
