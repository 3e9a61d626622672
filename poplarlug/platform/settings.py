"""Translates the platform's bounds and limits into settings."""

import json
import os
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from poplarlug.logs import ComponentLogger
from poplarlug.platform.names import LIMITS_VARIABLE

Settings: TypeAlias = dict[str, Any]

_VM_NAMES = {
    "cpu_share": "cpu_share",
    "cores": "cores",
    "memory_mb": "memory_mb",
    "max_fds": "max_files",
    "link_mbps": "link_mbps",
}
"""The platform's names of a VM's resources, and those of the settings."""

_log = ComponentLogger(prefix="platform")


def translate_entry_settings(tree: Any) -> Any:
    """Return an entry's settings tree without the platform's names."""
    return _translate(tree, _revocation, _quotas)


def translate_control_settings(tree: Any) -> Any:
    """Return a control replica's settings tree without the platform's names."""
    return _translate(tree, _quotas, _catch_up)


def _translate(tree: Any, *parts: Callable[[Mapping[str, Any]], Settings]) -> Any:
    if not isinstance(tree, Mapping):
        return tree
    translated: Settings = {}
    bounds = tree.get("bounds")
    if isinstance(bounds, Mapping):
        for part in parts:
            translated |= part(bounds)
    translated |= _vm_size(os.environ.get(LIMITS_VARIABLE, ""))
    own = {name: value for name, value in tree.items() if name != "bounds"}
    return translated | own


def _revocation(bounds: Mapping[str, Any]) -> Settings:
    if not bounds.get("strict_revoke"):
        return {}
    return {"revocation": {"bound_milliseconds": bounds.get("revoke_ms")}}


def _quotas(bounds: Mapping[str, Any]) -> Settings:
    if "quota_window_s" not in bounds:
        return {}
    quotas = {
        "window_seconds": bounds["quota_window_s"],
        "overage": bounds.get("quota_overage", 0.0),
        "slack": bounds.get("quota_slack", 0.0),
    }
    return {"quotas": quotas}


def _catch_up(bounds: Mapping[str, Any]) -> Settings:
    if "catch_up_s" not in bounds:
        return {}
    return {"catch_up_seconds": bounds["catch_up_s"]}


def _vm_size(limits: str) -> Settings:
    """Return the size of the VM; nothing if the platform doesn't tell all of it."""
    try:
        fields = json.loads(limits) if limits else None
    except ValueError as error:
        _log.warning("the VM's resources can't be read", error=str(error))
        return {}
    if not isinstance(fields, Mapping) or not _VM_NAMES.keys() <= fields.keys():
        return {}
    return {"vm": {own: fields[name] for name, own in _VM_NAMES.items()}}
