"""Safety rules of the configuration service, as plug-ins of kind ``control-guard``.

Tests replace one of them to check that its guarantee is then violated.
"""

from rowanrail.kernel.registry import register


@register("control-guard", "expected-version")
class ExpectedVersion:
    """Optimistic concurrency control: a change applies only to the version that it is based on."""

    def matches(self, base_version: int, current_version: int) -> bool:
        """Return whether a change based on ``base_version`` may be applied."""
        return base_version == current_version
