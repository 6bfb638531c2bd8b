"""Connections to members that the gateways of a zone or region share.

If members accept too few connections for every gateway to have its own, one gateway of each zone or
region, the holder, opens a service's connections, and the others forward their statements to it.
Sessions stay at the gateways of their clients.

The path of a statement: :mod:`work_routing` decides where it runs, :mod:`holder_choice` selects the
gateway, :mod:`remote_admission` may reject it early, :mod:`forwarding` sends it over a :mod:`link`
to :mod:`serving` at the holder. :mod:`forwarding_rules` and :mod:`liveness` cover holders that do
not answer, stop or are lost; :mod:`detour_rules` and :mod:`detours` cover primaries that this
gateway does not reach.

Owns the links between gateways. Relies on ``work`` for statements on own connections, on
``placement`` for the holders, and on ``scheduling`` for rejections. Only :mod:`transport` does I/O.
"""
