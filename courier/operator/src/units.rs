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

/// A text is no size. The text of the library's error would only repeat it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no size: a number and a unit are wanted, as in \"64 KiB\"")]
pub struct SizeParseError {
    /// The text.
    pub text: String,
}

/// A text is no span of time.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{text:?} is no span, as in \"10s\" or \"250ms\": {source}")]
pub struct SpanParseError {
    /// The text.
    pub text: String,
    /// What is wrong with it.
    pub source: humantime::DurationError,
}

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
    type Err = SizeParseError;

    /// # Errors
    /// No number, no unit, or one that is not known: a bare number could mean anything.
    fn from_str(text: &str) -> Result<Self, SizeParseError> {
        let error = || SizeParseError { text: text.to_owned() };
        // The library takes a bare number for bytes.
        if !text.ends_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(error());
        }
        let size: bytesize::ByteSize = text.parse().map_err(|_| error())?;
        Ok(Size(size.0))
    }
}

impl std::str::FromStr for Span {
    type Err = SpanParseError;

    /// # Errors
    /// No number, no unit, or one that is not known.
    fn from_str(text: &str) -> Result<Self, SpanParseError> {
        match humantime::parse_duration(text) {
            Ok(duration) => Ok(Span(duration)),
            Err(source) => Err(SpanParseError { text: text.to_owned(), source }),
        }
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
