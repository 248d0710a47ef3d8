"""Stand-ins for what surrounds the system, and the tools that test and measure it.

Nothing here is in the product's executable.
"""
