"""Validation of the files that a daemon's settings name."""

import re
from pathlib import Path
from typing import Protocol

import zmq.auth
from returns.result import Success

from poplarlug.keys import check_secret_file
from poplarlug.settings import SettingsError, load_settings
from poplarlug.topology import KeyFiles, Topology

_KEY_HASH = re.compile(r"[0-9a-f]{64}")


class DaemonSettings(Protocol):
    """Common fields of the settings of daemons that use a topology file."""

    @property
    def name(self) -> str:
        """Name of this daemon in the topology file."""

    @property
    def topology_file(self) -> str:
        """The topology file, relative to the settings file's folder."""

    @property
    def keys(self) -> KeyFiles:
        """Key files, relative to the settings file's folder."""


def check_files(settings: DaemonSettings, folder: Path) -> list[SettingsError]:
    """
    Return all errors in the files that ``settings`` names.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the settings file, to which relative paths refer.
    """
    errors = []
    names: list[str] = []
    topology_file = folder / settings.topology_file
    loaded = load_settings(topology_file, Topology)
    if isinstance(loaded, Success):
        names = list(loaded.unwrap().peer_addresses_by_name())
        errors += _check_own_name(settings, loaded.unwrap())
    else:
        errors += [_prefix_path(topology_file, error) for error in loaded.failure()]
    errors += _check_secret_key(folder / settings.keys.secret_file)
    errors += _check_public_keys(folder / settings.keys.peers_folder, names)
    operators = getattr(settings, "operator_key_hashes_file", None)
    if operators is not None:
        errors += _check_key_hashes(folder / operators)
    return errors


def _check_own_name(
    settings: DaemonSettings, topology: Topology
) -> list[SettingsError]:
    is_control = hasattr(settings, "operator_key_hashes_file")
    vms = topology.control if is_control else topology.entries
    names = [vm.name for vm in vms]
    if settings.name in names:
        return []
    message = f"got {settings.name!r}, expected one of {', '.join(names)}"
    return [SettingsError("$.name", message)]


def _check_secret_key(path: Path) -> list[SettingsError]:
    problem = check_secret_file(path)
    if not problem and not _contains_secret_key(path):
        problem = "contains no secret key; create it with: poplarlug keys generate"
    return [SettingsError("$.keys.secret_file", f"{path} {problem}")] if problem else []


def _check_public_keys(folder: Path, names: list[str]) -> list[SettingsError]:
    setting_path = "$.keys.peers_folder"
    if not folder.is_dir():
        return [SettingsError(setting_path, f"{folder} is not a folder")]
    missing = [name for name in names if not (folder / f"{name}.key").is_file()]
    if not missing:
        return []
    shown = ", ".join(missing[:5])
    message = f"{folder} lacks the public keys of {len(missing)} VMs: {shown}"
    return [SettingsError(setting_path, message)]


def _check_key_hashes(path: Path) -> list[SettingsError]:
    setting_path = "$.operator_key_hashes_file"
    try:
        lines = path.read_text(encoding="utf-8").split()
    except (OSError, ValueError) as error:
        return [SettingsError(setting_path, f"{path} can't be read: {error}")]
    message = "expected 64 hex digits, as 'poplarlug keys caller' prints them"
    return [
        SettingsError(setting_path, f"{path}, line {number}: {message}")
        for number, line in enumerate(lines, start=1)
        if not _KEY_HASH.fullmatch(line)
    ]


def _prefix_path(file: Path, error: SettingsError) -> SettingsError:
    return SettingsError(f"{file}: {error.path}", error.message)


def _contains_secret_key(path: Path) -> bool:
    try:
        return zmq.auth.load_certificate(path)[1] is not None
    except (OSError, ValueError):
        return False
