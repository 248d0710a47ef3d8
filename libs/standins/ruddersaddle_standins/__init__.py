"""Stand-ins for the systems around the product, and tools that test and measure it.

The product's executable contains nothing of this package.
"""
