"""Connections to members that the gateways of a zone or region share.

Where members take too few connections for every gateway to have its own, one gateway of each zone
or region, the holder, has a service's connections, and the others send it their statements.
Sessions stay where their clients are.

The path of a statement: :mod:`work_routing` says where it runs, :mod:`holder_choice` which gateway
is asked, :mod:`remote_admission` whether it is sent at all, :mod:`forwarding` follows it, over a
:mod:`link`, to :mod:`serving` at the holder. What becomes of it when the holder is silent, leaves
or is lost is in :mod:`forwarding_rules` and :mod:`liveness`; how a cut is got around in
:mod:`detour_rules` and :mod:`detours`.

Owns the links between gateways. Relies on ``work`` for statements on own connections, on
``placement`` for who holds what, and on ``scheduling`` for what is rejected. No I/O but in
:mod:`transport`.
"""
