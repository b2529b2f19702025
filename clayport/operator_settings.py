"""Reads and checks the operator's settings file, which is in protobuf text format, for example:

    refresh { start_s: 10 least_s: 1 most_s: 60 }
    rebuild { on: true directory: "/var/lib/clayport" }

This module is imported only if such a file is given, because protobuf costs memory and start
time. The schema is declared here, so that the repository contains no generated code.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory, text_format

from clayport.settings import ConfigError

# The protobuf package of the schema.
PACKAGE = "clayport"
REFRESH_FIELDS = ("start_s", "least_s", "most_s")


@dataclass(frozen=True)
class RefreshSettings:
    """The initial value and the bounds of the adaptive refresh interval, in seconds."""

    start_s: float = 10.0
    least_s: float = 1.0
    most_s: float = 60.0


@dataclass(frozen=True)
class OperatorSettings:
    """The operator's settings; the defaults apply if no file is given."""

    refresh: RefreshSettings = RefreshSettings()
    rebuild: bool = False  # whether to rebuild records that the state service has lost
    directory: str = ""  # where to write snapshots of the records; empty for no snapshots
    second_copy: bool = False  # whether to answer 201 only once a second copy exists


def _add_field(message: Any, name: str, kind: int, message_type: str = "") -> None:
    """Add an optional field to a message type of the schema, with the next free number."""
    message.field.add(
        name=name,
        number=len(message.field) + 1,
        type=kind,
        label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        type_name=message_type or None,
    )


def _new_message() -> Any:
    """Declare the schema and return an empty message of its root type."""
    types = descriptor_pb2.FieldDescriptorProto
    file = descriptor_pb2.FileDescriptorProto(
        name="operator.proto", package=PACKAGE, syntax="proto2"
    )
    refresh = file.message_type.add(name="Refresh")
    for name in REFRESH_FIELDS:
        _add_field(refresh, name, types.TYPE_DOUBLE)
    rebuild = file.message_type.add(name="Rebuild")
    _add_field(rebuild, "on", types.TYPE_BOOL)
    _add_field(rebuild, "directory", types.TYPE_STRING)
    _add_field(rebuild, "second_copy", types.TYPE_BOOL)
    operator = file.message_type.add(name="Operator")
    for part in (refresh, rebuild):
        _add_field(operator, part.name.lower(), types.TYPE_MESSAGE, f".{PACKAGE}.{part.name}")
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.Operator"))()


def parse(text: str) -> OperatorSettings:
    """Parse and check the operator's settings.

    Raises:
        ConfigError: The syntax is invalid, a field is unknown or out of range, or fields
            contradict each other.
    """
    try:
        message = text_format.Parse(text, _new_message())
    except text_format.ParseError as exc:
        raise ConfigError(f"operator file: {' '.join(str(exc).split())}") from None
    refresh = _parse_refresh(message.refresh)
    rebuild = message.rebuild
    if (rebuild.directory or rebuild.second_copy) and not rebuild.on:
        raise ConfigError("rebuild: directory and second_copy need on: true")
    return OperatorSettings(refresh, rebuild.on, rebuild.directory, rebuild.second_copy)


def _parse_refresh(message: Any) -> RefreshSettings:
    given = {name: getattr(message, name) for name in REFRESH_FIELDS if message.HasField(name)}
    refresh = RefreshSettings(**given)
    for name in REFRESH_FIELDS:
        value = getattr(refresh, name)
        if not math.isfinite(value) or value <= 0:
            raise ConfigError(f"refresh.{name}: must be a positive number")
    if not refresh.least_s <= refresh.start_s <= refresh.most_s:
        raise ConfigError("refresh.start_s: must lie between least_s and most_s")
    return refresh


def load(path: str) -> OperatorSettings:
    """Read the operator's file (protobuf text format).

    Raises:
        ConfigError: The file can't be read, or its contents are invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(f"operator file: {exc}") from None
