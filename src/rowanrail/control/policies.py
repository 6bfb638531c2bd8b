"""Guards of the configuration service, as plug-ins of kind ``control-guard``."""

from rowanrail.kernel.registry import register


@register("control-guard", "expected-version")
class ExpectedVersion:
    """A change applies only to the version that it was made against."""

    def matches(self, base_version: int, current_version: int) -> bool:
        """Return whether the change may be accepted."""
        return base_version == current_version


@register("control-guard", "version-monotonic")
class VersionMonotonic:
    """The version in force at a proxy only grows."""

    def accepts(self, in_force: int, offered: int) -> bool:
        """Return whether the offered version may replace the one in force."""
        return offered > in_force
