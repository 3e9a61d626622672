"""Conversion between catalog objects and the operators' protobuf messages."""

from typing import Any

from poplarlug.catalog import CatalogObject, Kind
from poplarlug.catalog.objects import OBJECT_TYPES_BY_KIND
from poplarlug.schema import operators_pb2 as pb


def to_message(kind: Kind, value: CatalogObject, version: int) -> Any:
    """Return the ``CatalogObject`` message for ``value``."""
    message = pb.CatalogObject(version=version)
    part = getattr(message, kind)
    part.SetInParent()
    for field, field_value in value._asdict().items():
        if isinstance(field_value, tuple):
            getattr(part, field).extend(field_value)
        else:
            setattr(part, field, field_value)
    return message


def from_message(message: Any) -> tuple[Kind, CatalogObject] | None:
    """Return the kind and object in a message, ``None`` if it is empty."""
    kind = message.WhichOneof("object")
    if kind is None:
        return None
    part = getattr(message, kind)
    object_type: Any = OBJECT_TYPES_BY_KIND[kind]
    fields: dict[str, Any] = {}
    for field in object_type._fields:
        value = getattr(part, field)
        fields[field] = value if isinstance(value, str | int | float) else tuple(value)
    return kind, object_type(**fields)
