"""Settings files: JSON with comments, validated as a whole."""

import json
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from types import UnionType
from typing import (
    Any,
    NamedTuple,
    Protocol,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
    runtime_checkable,
)

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")

MAX_SHOWN_CHARACTERS = 120

_NO_VALUE = object()
_COMMENT_LINE = re.compile(r"^[ \t]*//.*$", re.MULTILINE)


class SettingsError(NamedTuple):
    """An error in a settings file, with the path of its key."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


@runtime_checkable
class CrossChecked(Protocol):
    """Settings that validate their values against each other."""

    def cross_check(self) -> list[SettingsError]:
        """Return all inconsistencies between individually valid values."""


Translate = Callable[[Any], Any]
"""Returns a settings tree from one with a platform's own names."""


def load_settings(
    path: Path, kind: type[T], translate: Translate | None = None
) -> Result[T, list[SettingsError]]:
    """
    Read the settings file at ``path`` as the ``NamedTuple`` class ``kind``.

    Parameters
    ----------
    path : pathlib.Path
        A file of JSON with comments.
    kind : type
        A ``NamedTuple`` class; its fields may be nested ``NamedTuple`` classes,
        tuples of them, or any type that ``msgspec.convert`` supports.
    translate : callable, optional
        Applied to the parsed file.

    Returns
    -------
    Success(T) or Failure(list of SettingsError)
        All errors of the file, each with its path in the file. Inconsistencies
        between values are reported by ``kind.cross_check``, if it exists.
    """
    try:
        tree = _parse(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return Failure([SettingsError(str(path), f"can't be read: {error}")])
    return check_settings(tree if translate is None else translate(tree), kind)


def check_settings(tree: Any, kind: type[T]) -> Result[T, list[SettingsError]]:
    """Validate a parsed settings tree; see :func:`load_settings`."""
    errors: list[SettingsError] = []
    value = _convert(tree, kind, "$", errors)
    if not errors and isinstance(value, CrossChecked):
        errors.extend(value.cross_check())
    if errors:
        return Failure(errors)
    return Success(value)


def short_repr(value: Any) -> str:
    """Return the ``repr`` of ``value``, truncated for use in an error message."""
    shown = repr(value)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        return f"{shown[:MAX_SHOWN_CHARACTERS]}..."
    return shown


def _parse(text: str) -> Any:
    """Parse JSON with comments; fast if each comment has a line of its own."""
    try:
        return json.loads(_COMMENT_LINE.sub("", text))
    except ValueError:
        # Not at the top, as it is slow to load and seldom needed.
        import json5

        return json5.loads(text)


def _convert(value: Any, kind: Any, path: str, errors: list[SettingsError]) -> Any:
    if get_origin(kind) is UnionType and any(map(_is_checked, get_args(kind))):
        if value is None:
            return None
        kind = next(filter(_is_checked, get_args(kind)))
    if _is_named_tuple(kind):
        return _convert_named_tuple(value, kind, path, errors)
    if get_origin(kind) is tuple and get_args(kind)[1:] == (Ellipsis,):
        return _convert_list(value, get_args(kind)[0], path, errors)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        errors.append(
            SettingsError(
                path, f"got {short_repr(value)}: {str(error)[:MAX_SHOWN_CHARACTERS]}"
            )
        )
        return _NO_VALUE


def _convert_named_tuple(
    value: Any, kind: Any, path: str, errors: list[SettingsError]
) -> Any:
    if not isinstance(value, Mapping):
        errors.append(
            SettingsError(path, f"got {short_repr(value)}, expected an object")
        )
        return _NO_VALUE
    hints = get_type_hints(kind, include_extras=True)
    for key in value:
        if key not in hints:
            setting_path = f"{path}.{str(key)[:MAX_SHOWN_CHARACTERS]}"
            known = ", ".join(hints)
            errors.append(
                SettingsError(setting_path, f"unknown key; expected one of {known}")
            )
    fields = {}
    for name, field_kind in hints.items():
        if name in value:
            fields[name] = _convert(value[name], field_kind, f"{path}.{name}", errors)
        elif name not in kind._field_defaults:
            errors.append(SettingsError(f"{path}.{name}", "missing; add this key"))
    if errors:
        return _NO_VALUE
    return kind(**fields)


def _convert_list(value: Any, kind: Any, path: str, errors: list[SettingsError]) -> Any:
    if not isinstance(value, list):
        errors.append(
            SettingsError(path, f"got {short_repr(value)}, expected an array")
        )
        return _NO_VALUE
    return tuple(
        _convert(item, kind, f"{path}[{index}]", errors)
        for index, item in enumerate(value)
    )


def _is_checked(kind: Any) -> bool:
    """Return whether the parts of a value are checked one by one."""
    return _is_named_tuple(kind) or get_origin(kind) is tuple


def _is_named_tuple(kind: Any) -> bool:
    return isinstance(kind, type) and hasattr(kind, "_field_defaults")
