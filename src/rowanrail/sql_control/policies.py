"""Guards of the configuration service, as plug-ins of kind ``control-guard``.

For the replicated state. Own nothing: pure, so that the lab can take one away and find its
guarantee broken.
"""

from rowanrail.kernel.registry import register


@register("control-guard", "expected-version")
class ExpectedVersion:
    """A change applies only to the version that it was made against."""

    def matches(self, base_version: int, current_version: int) -> bool:
        """Return whether the change may be accepted."""
        return base_version == current_version
