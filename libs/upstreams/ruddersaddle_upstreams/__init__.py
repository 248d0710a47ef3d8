"""Clients of the services behind the hosts: engines, plain services, store hosts, host list."""
