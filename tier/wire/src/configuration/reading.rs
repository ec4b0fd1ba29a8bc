//! Parsing of a complete configuration from its JSON text.

use super::MAX_CONFIGURATION_BYTES;
use super::document::{NAMED_LISTS, ROUTES, SERVICES, items, name_of, object, parse_json};
use super::error::ConfigurationError;
use super::types::{Configuration, Route, Service, Tenant};
use miniserde::json::{self, Value};

impl Configuration {
    /// Parses a complete configuration from its JSON text, without validating it.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError::TooLarge`] above [`MAX_CONFIGURATION_BYTES`]; [`ConfigurationError::Unreadable`], which names the invalid
    /// part of the document.
    pub fn parse(text: &str) -> Result<Configuration, ConfigurationError> {
        if text.len() > MAX_CONFIGURATION_BYTES {
            return Err(ConfigurationError::TooLarge { bytes: text.len() });
        }
        let document = parse_json(text)?;
        json::from_str(text).map_err(|_| ConfigurationError::Unreadable(describe_failure(&document)))
    }
}

/// Describes the invalid part of a document for the error message.
fn describe_failure(document: &Value) -> String {
    let Ok(object) = object(document) else { return "not an object".to_owned() };
    for list in NAMED_LISTS {
        let Ok(entries) = items(object, list) else { return format!("{list} is no list") };
        for (index, item) in entries.iter().enumerate() {
            let text = json::to_string(item);
            let is_valid = match list {
                ROUTES => json::from_str::<Route>(&text).is_ok(),
                SERVICES => json::from_str::<Service>(&text).is_ok(),
                _ => json::from_str::<Tenant>(&text).is_ok(),
            };
            if !is_valid {
                return format!(
                    "{list}[{}] lacks a field or has one of another type",
                    name_of(item).map_or_else(|| index.to_string(), str::to_owned)
                );
            }
        }
    }
    "Gen, Routes, Backends or Limits is missing or of another type".to_owned()
}
