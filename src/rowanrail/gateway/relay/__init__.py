"""Connections to members shared by the gateways of a zone.

Where members take too few connections for every gateway to have its own, one gateway of each
zone holds a service's connections and the zone's other gateways send it their statements.
Sessions stay where their clients are.
"""
