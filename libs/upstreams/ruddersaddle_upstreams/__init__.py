"""Clients of what stands behind the hosts: engines, plain services, store hosts, the host list."""
