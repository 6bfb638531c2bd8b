"""Version guard, a plug-in of kind ``control-guard``.

Used by proxies, gateways and control nodes. It is a plug-in so that the simulator can disable it
and show that its guarantee then breaks.
"""

from rowanrail.kernel.registry import register


@register("control-guard", "version-monotonic")
class VersionMonotonic:
    """Accepts only increasing configuration versions."""

    def accepts(self, in_force: int, offered: int) -> bool:
        """Return whether the offered version may replace the one in force."""
        return offered > in_force
