//! Sizes and spans as text with units, so that nobody has to count zeros. A number without a unit is an error.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::borrow::Cow;
use std::time::Duration;

/// A size in bytes, written as `64 KiB`, `1.5 MB` or `300 B`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A span of time, written as `250ms`, `10s` or `1m 30s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", bytesize::ByteSize(self.0).display().iec())
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl std::str::FromStr for Size {
    type Err = String;

    /// # Errors
    /// No number, no unit, or one that is not known: a bare number could mean anything.
    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text:?} is no size: a number and a unit are wanted, as in \"64 KiB\"");
        if !text.ends_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(wrong());
        }
        text.parse::<bytesize::ByteSize>().map(|size| Size(size.0)).map_err(|_| wrong())
    }
}

impl std::str::FromStr for Span {
    type Err = String;

    /// # Errors
    /// No number, no unit, or one that is not known.
    fn from_str(text: &str) -> Result<Self, String> {
        humantime::parse_duration(text)
            .map(Span)
            .map_err(|e| format!("{text:?} is no span, as in \"10s\" or \"250ms\": {e}"))
    }
}

macro_rules! as_text {
    ($name:ident, $pattern:literal, $about:literal) => {
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                String::deserialize(from)?.parse().map_err(de::Error::custom)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": $pattern, "description": $about})
            }
        }
    };
}

as_text!(Size, r"^[0-9]+(\.[0-9]+)? ?([kKmMgGtT]i?)?[bB]$", "A size: a number and a unit, as in \"64 KiB\".");
as_text!(
    Span,
    r"^([0-9]+ ?(ns|us|ms|s|sec|m|min|h|hr|d|day|days) ?)+$",
    "A span: numbers and units, as in \"250ms\" or \"1m 30s\"."
);
