"""The operator's own settings, in protobuf text format.

    refresh { start_s: 10 least_s: 1 most_s: 60 }
    rebuild { on: true directory: "/var/lib/clayport" }

Imported only when such a file is given: protobuf costs memory and start time
that a controller without one should not pay. The schema is declared here, so
that no generated code has to be kept.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory, text_format

from clayport.settings import ConfigError

REFRESH = ("start_s", "least_s", "most_s")


@dataclass(frozen=True)
class Refresh:
    """Bounds of the adaptive refresh interval, in seconds."""

    start_s: float = 10.0
    least_s: float = 1.0
    most_s: float = 60.0


@dataclass(frozen=True)
class Operator:
    """What the operator's file switches on or changes; the defaults are those of no file."""

    refresh: Refresh = Refresh()
    rebuild: bool = False  # whether records that the state service loses are rebuilt
    directory: str = ""  # where this controller keeps snapshots of them; none: nowhere
    second_copy: bool = False  # whether 201 waits until a second place has the record


def _message() -> Any:
    field = descriptor_pb2.FieldDescriptorProto
    file = descriptor_pb2.FileDescriptorProto(
        name="operator.proto", package="clayport", syntax="proto2"
    )
    refresh = file.message_type.add(name="Refresh")
    for number, name in enumerate(REFRESH, 1):
        refresh.field.add(
            name=name, number=number, type=field.TYPE_DOUBLE, label=field.LABEL_OPTIONAL
        )
    rebuild = file.message_type.add(name="Rebuild")
    rebuild.field.add(name="on", number=1, type=field.TYPE_BOOL, label=field.LABEL_OPTIONAL)
    rebuild.field.add(
        name="directory", number=2, type=field.TYPE_STRING, label=field.LABEL_OPTIONAL
    )
    rebuild.field.add(
        name="second_copy", number=3, type=field.TYPE_BOOL, label=field.LABEL_OPTIONAL
    )
    whole = file.message_type.add(name="Operator")
    for number, name in enumerate(("Refresh", "Rebuild"), 1):
        whole.field.add(
            name=name.lower(),
            number=number,
            type=field.TYPE_MESSAGE,
            label=field.LABEL_OPTIONAL,
            type_name=f".clayport.{name}",
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("clayport.Operator"))()


def parse(text: str) -> Operator:
    """Read and check the operator's settings."""
    try:
        message = text_format.Parse(text, _message())
    except text_format.ParseError as exc:
        raise ConfigError(f"operator file: {' '.join(str(exc).split())}") from None
    default = Refresh()
    refresh = Refresh(
        **{
            name: getattr(message.refresh, name)
            if message.refresh.HasField(name)
            else getattr(default, name)
            for name in REFRESH
        }
    )
    for name in REFRESH:
        value = getattr(refresh, name)
        if not math.isfinite(value) or value <= 0:
            raise ConfigError(f"refresh.{name}: must be a positive number")
    if not refresh.least_s <= refresh.start_s <= refresh.most_s:
        raise ConfigError("refresh.start_s: must lie between least_s and most_s")
    own = message.rebuild
    if (own.directory or own.second_copy) and not own.on:
        raise ConfigError("rebuild: directory and second_copy need on: true")
    return Operator(refresh, own.on, own.directory, own.second_copy)


def load(path: str) -> Operator:
    """Read the operator's file (protobuf text format).

    Raises:
        ConfigError: The file can't be read, or something in it is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(f"operator file: {exc}") from None
