"""Schema of the settings: parsing, checks and generated documentation.

A section is a ``NamedTuple`` whose fields are
``name: Annotated[type, bounds, "description"] = default``; the suffix of the
name gives the unit. Parsing, the generated page ``docs/settings.md`` and the
test of the shipped ``defaults.ini`` all derive from these annotations.
"""

import math
import re
from collections.abc import Callable
from configparser import ConfigParser
from configparser import Error as ConfigFileError
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, NamedTuple, get_origin, get_type_hints

from cyclamenscale.errors import SettingError

BOOLEANS = {
    "yes": True,
    "true": True,
    "on": True,
    "1": True,
    "no": False,
    "false": False,
    "off": False,
    "0": False,
}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,252}[A-Za-z0-9])?")


class Range(NamedTuple):
    """Inclusive bounds of a number.

    :ivar low: lower bound.
    :ivar high: upper bound.
    """

    low: float
    high: float


class Choices(tuple):
    """The allowed values of a text key."""

    def __new__(cls, *texts: str):
        """Create the tuple from the arguments."""
        return super().__new__(cls, texts)


class Rule(NamedTuple):
    """A check across several keys.

    :ivar section: section of the key that an error is reported for.
    :ivar key: key that an error is reported for.
    :ivar others: the other keys of the rule, as ``(section, key)``.
    :ivar allowed: description of the rule.
    :ivar holds: returns whether the settings satisfy the rule.
    """

    section: str
    key: str
    others: tuple[tuple[str, str], ...]
    allowed: str
    holds: Callable[[Any], bool]


#: Checks across several keys.
RULES = (
    Rule(
        "peers",
        "suspect_s",
        (("peers", "heartbeat_s"),),
        "more than heartbeat_s",
        lambda s: s.peers.suspect_s > s.peers.heartbeat_s,
    ),
    Rule(
        "peers",
        "dead_s",
        (("peers", "suspect_s"),),
        "more than suspect_s",
        lambda s: s.peers.dead_s > s.peers.suspect_s,
    ),
    Rule(
        "freshness",
        "limit_s",
        (("peers", "dead_s"),),
        "at least peers.dead_s",
        lambda s: s.freshness.limit_s >= s.peers.dead_s,
    ),
    Rule(
        "freshness",
        "accept_within_s",
        (
            ("freshness", "limit_s"),
            ("freshness", "margin_s"),
        ),
        "more than limit_s + margin_s",
        lambda s: (
            s.freshness.accept_within_s
            > s.freshness.limit_s + s.freshness.margin_s
        ),
    ),
    Rule(
        "store",
        "call_timeout_s",
        (("freshness", "limit_s"),),
        "less than freshness.limit_s",
        lambda s: s.store.call_timeout_s < s.freshness.limit_s,
    ),
    Rule(
        "store",
        "watch_silence_s",
        (("freshness", "limit_s"),),
        "less than freshness.limit_s",
        lambda s: s.store.watch_silence_s < s.freshness.limit_s,
    ),
    Rule(
        "claims",
        "writes_per_s",
        (("store", "writes_per_s"),),
        "at most store.writes_per_s",
        lambda s: s.claims.writes_per_s <= s.store.writes_per_s,
    ),
    Rule(
        "limits",
        "backoff_max_s",
        (("limits", "backoff_first_s"),),
        "at least backoff_first_s",
        lambda s: s.limits.backoff_max_s >= s.limits.backoff_first_s,
    ),
    Rule(
        "supervisor",
        "backoff_max_s",
        (("supervisor", "backoff_first_s"),),
        "at least backoff_first_s",
        lambda s: s.supervisor.backoff_max_s >= s.supervisor.backoff_first_s,
    ),
)


def is_address(text: str, lowest_port: int) -> bool:
    """Return whether a text is ``HOST:PORT`` with an IP or host name."""
    host, _, port = text.rpartition(":")
    if not re.fullmatch("[0-9]{1,5}", port):
        return False
    if not lowest_port <= int(port) <= 65535:
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ip_address(host)
    except ValueError:
        # Digits and dots alone are a mistyped IP address, not a name.
        return bool(HOST_NAME.fullmatch(host)) and not re.fullmatch(
            "[0-9.]+", host
        )
    return True


class TextFormat(NamedTuple):
    """The format of a text value.

    :ivar allowed: description of the format.
    :ivar matches: returns whether a text has the format.
    """

    allowed: str
    matches: Callable[[str], bool]


Name = Annotated[
    str,
    TextFormat(
        "1 to 63 letters, digits, '.', '_' or '-', the first one a letter "
        "or digit",
        lambda text: bool(NAME.fullmatch(text)),
    ),
]
Listen = Annotated[
    str,
    TextFormat(
        "HOST:PORT, port 0 for one chosen by the system",
        lambda text: is_address(text, 0),
    ),
]
HOST_PORT = TextFormat("HOST:PORT", lambda text: is_address(text, 1))
Address = Annotated[str, HOST_PORT]
Addresses = Annotated[tuple[str, ...], HOST_PORT]
OptionalAddress = Annotated[
    str,
    TextFormat(
        "HOST:PORT or empty", lambda text: not text or is_address(text, 1)
    ),
]
ANY_TEXT = TextFormat("any text", lambda text: True)

#: Unit of a key by the suffix of its name; the first match applies.
UNITS = (
    ("_per_s", "1/s"),
    ("_per_hour", "1/h"),
    ("_ms", "ms"),
    ("_s", "s"),
    ("_bytes", "bytes"),
    ("_mbps", "Mbit/s"),
)


class Key(NamedTuple):
    """The allowed values of a key, and its description.

    :ivar value_type: type of the value.
    :ivar description: one-line description of the key.
    :ivar unit: unit of a number, empty for none.
    :ivar bounds: bounds of a number.
    :ivar choices: allowed texts, empty for any.
    :ivar format: format of a text, or of each item of a list.
    """

    value_type: Any
    description: str = ""
    unit: str = ""
    bounds: Range = Range(-math.inf, math.inf)
    choices: Choices = Choices()
    format: TextFormat = ANY_TEXT


def key_from_annotation(name: str, hint: Any) -> Key:
    """Build the :class:`Key` of a field from its type annotation."""
    unit = next((unit for end, unit in UNITS if name.endswith(end)), "")
    key = Key(hint, unit=unit)
    for part in getattr(hint, "__metadata__", ()):
        if isinstance(part, str):
            key = key._replace(description=part)
        elif isinstance(part, Range):
            key = key._replace(bounds=part)
        elif isinstance(part, Choices):
            key = key._replace(choices=part)
        elif isinstance(part, TextFormat):
            key = key._replace(format=part)
    return key._replace(value_type=getattr(hint, "__origin__", hint))


def schema(section: type) -> dict[str, Key]:
    """Return the :class:`Key` of each key of a section."""
    hints = get_type_hints(section, include_extras=True)
    return {
        name: key_from_annotation(name, hints[name])
        for name in section._fields
    }


def sections(settings: type) -> dict[str, type]:
    """Return the type of each section of the settings."""
    return get_type_hints(settings)


def describe_allowed(key: Key) -> str:
    """Describe the allowed values of a key."""
    if key.value_type is bool:
        return "yes or no"
    if key.choices:
        return "one of " + ", ".join(key.choices)
    if key.value_type in (int, float):
        word = "a whole number" if key.value_type is int else "a number"
        low, high = key.bounds
        return f"{word} from {low:g} to {high:.10g} {key.unit}".rstrip()
    if get_origin(key.value_type) is tuple:
        return f"a list, separated by commas, of {key.format.allowed}"
    return key.format.allowed


def parse(text: str, key: Key) -> Any:
    """Parse the text of one key.

    :param text: the text of the value in the file.
    :param key: the allowed values.
    :returns: the value, or ``None`` if it is not allowed.
    """
    if key.value_type is bool:
        return BOOLEANS.get(text.lower())
    if key.value_type in (int, float):
        try:
            number = key.value_type(text)
        except ValueError:
            return None
        low, high = key.bounds
        # A NaN fails both comparisons.
        inside = low <= number <= high and math.isfinite(number)
        return number if inside else None
    if get_origin(key.value_type) is tuple:
        parts = tuple(part.strip() for part in text.split(",") if part.strip())
        return parts if all(map(key.format.matches, parts)) else None
    if key.choices:
        return text if text in key.choices else None
    return text if key.format.matches(text) else None


def read_ini(path: Path) -> tuple[dict[str, dict[str, str]], list]:
    """Read an INI file without interpolation.

    :returns: texts by section and key, and the syntax errors of the file.
    """
    # Otherwise a section named DEFAULT would apply to all other sections.
    parser = ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        setting_error = SettingError(
            str(path), "-", "-", error.strerror, "a file that can be read"
        )
        return {}, [setting_error]
    except (ConfigFileError, UnicodeDecodeError) as error:
        section = getattr(error, "section", None) or "-"
        option = getattr(error, "option", None) or "-"
        found = " ".join(str(error).split())
        return {}, [
            SettingError(
                str(path),
                section,
                option,
                found,
                "an INI file in UTF-8 with each section and key once",
            )
        ]
    return {name: dict(parser[name]) for name in parser.sections()}, []


def merge(
    settings: type,
    base: Any,
    texts: dict[str, dict[str, str]],
    file: str,
    rules: tuple[Rule, ...] = RULES,
) -> tuple[Any, list[SettingError]]:
    """Check texts against the schema and override settings with them.

    :param settings: the type of the whole settings.
    :param base: settings for the keys that the texts leave out.
    :param texts: texts by section and key.
    :param file: path of their source, for the errors.
    :param rules: checks across several keys; a rule is skipped if one of its
        keys is itself invalid.
    :returns: the settings, valid only without errors, and all errors.
    """
    known_sections = sections(settings)
    errors = []
    changed: dict[str, dict[str, Any]] = {}
    for section, keys in texts.items():
        if section not in known_sections:
            allowed = "one of the sections " + ", ".join(known_sections)
            errors.append(SettingError(file, section, "-", section, allowed))
            continue
        known_keys = schema(known_sections[section])
        for name, text in keys.items():
            if name not in known_keys:
                allowed = "one of the keys " + ", ".join(known_keys)
                errors.append(SettingError(file, section, name, name, allowed))
                continue
            value = parse(text, known_keys[name])
            if value is None:
                allowed = describe_allowed(known_keys[name])
                errors.append(SettingError(file, section, name, text, allowed))
            else:
                changed.setdefault(section, {})[name] = value
    merged = base._replace(
        **{
            section: getattr(base, section)._replace(**values)
            for section, values in changed.items()
        }
    )
    bad = {(error.section, error.key) for error in errors}
    for rule in rules:
        if bad & {(rule.section, rule.key), *rule.others}:
            continue
        if not rule.holds(merged):
            found = getattr(getattr(merged, rule.section), rule.key)
            errors.append(
                SettingError(file, rule.section, rule.key, found, rule.allowed)
            )
    return merged, errors


def format_value(value: Any) -> str:
    """Format a value for an INI file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def render_ini(settings: Any) -> str:
    """Render settings as an INI file."""
    parts = []
    for name, section in settings._asdict().items():
        lines = [f"[{name}]"]
        for key, value in section._asdict().items():
            lines.append(f"{key} = {format_value(value)}".rstrip())
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def render_docs(settings: type) -> str:
    """Render the page ``docs/settings.md``."""
    lines = [
        "# Settings",
        "",
        "Generated by `cyclamenscale settings docs`; do not edit.",
        "",
        "A settings file is an INI file in UTF-8. Keys that it leaves out "
        "keep the default. `cyclamenscale settings check FILE` reports all "
        "errors of a file at once; unknown sections and keys are errors.",
    ]
    for name, section in sections(settings).items():
        description = (section.__doc__ or "").split(": ", 1)[-1]
        description = description.rstrip(".")
        lines += [
            "",
            f"## [{name}]",
            "",
            description[:1].upper() + description[1:] + ".",
        ]
        lines += ["", "| key | default | unit | allowed | meaning |"]
        lines.append("|---|---|---|---|---|")
        for field, key in schema(section).items():
            default = format_value(section._field_defaults[field])
            default = f"`{default}`" if default else "empty"
            words = describe_allowed(key._replace(unit=""))
            lines.append(
                f"| `{field}` | {default} | {key.unit} | {words} "
                f"| {key.description} |"
            )
    lines += ["", "## Rules across several keys", ""]
    for rule in RULES:
        lines.append(f"- `{rule.section}.{rule.key}`: {rule.allowed}.")
    return "\n".join(lines) + "\n"
