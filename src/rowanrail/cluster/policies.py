"""Guard of versions, a plug-in of kind ``control-guard``.

For proxies, gateways and control nodes. Owns nothing: pure, so that the lab can take the guard
away and find its guarantee broken.
"""

from rowanrail.kernel.registry import register


@register("control-guard", "version-monotonic")
class VersionMonotonic:
    """The version in force at a proxy only grows."""

    def accepts(self, in_force: int, offered: int) -> bool:
        """Return whether the offered version may replace the one in force."""
        return offered > in_force
