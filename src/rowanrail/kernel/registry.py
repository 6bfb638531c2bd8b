"""Plug-in registry.

Plug-ins register themselves with :func:`register` when their module is imported. A
:class:`Registry` is a snapshot of the registered plug-ins, in which tests and simulations may
replace some.
"""

from collections.abc import Callable
from typing import Any, TypeVar

PluginType = TypeVar("PluginType", bound=type[Any])

_registered: dict[tuple[str, str], type[Any]] = {}


def register(kind: str, name: str) -> Callable[[PluginType], PluginType]:
    """Return a class decorator that registers the class as plug-in ``name`` of ``kind``.

    :raises ValueError: if the name is registered for another class.
    """

    def decorate(plugin: PluginType) -> PluginType:
        key = (kind, name)
        if _registered.get(key, plugin) is not plugin:
            raise ValueError(f"plug-in {kind}/{name} is registered twice")
        _registered[key] = plugin
        return plugin

    return decorate


class Registry:
    """The plug-ins in use by one process (or by one simulated process)."""

    def __init__(self) -> None:
        self._plugins = dict(_registered)

    def replace(self, kind: str, name: str, plugin: type[Any]) -> None:
        """Use ``plugin`` in place of the registered one."""
        self._plugins[(kind, name)] = plugin

    def create(self, kind: str, name: str, *arguments: Any) -> Any:
        """Instantiate the plug-in ``name`` of ``kind``.

        :raises LookupError: if nothing is registered under the name.
        """
        plugin = self._plugins.get((kind, name))
        if plugin is None:
            known = ", ".join(sorted(n for k, n in self._plugins if k == kind)) or "none"
            raise LookupError(f"no plug-in {kind}/{name}; known: {known}")
        return plugin(*arguments)

    def names(self, kind: str) -> list[str]:
        """Return the registered names of ``kind``, sorted."""
        return sorted(name for plugin_kind, name in self._plugins if plugin_kind == kind)
