//! Access to a configuration as a JSON document, for changes of named items and for the texts of errors.

use super::error::ConfigurationError;
use miniserde::json::{self, Object, Value};

/// Name of the list of routes.
pub(super) const ROUTES: &str = "Routes";
/// Name of the list of services.
pub(super) const SERVICES: &str = "Backends";
/// Name of the list of tenants.
pub(super) const TENANTS: &str = "Accounts";
/// Lists of a configuration whose items have names.
pub(super) const NAMED_LISTS: [&str; 3] = [ROUTES, SERVICES, TENANTS];
/// Field with an item's name.
const NAME_FIELD: &str = "Name";
/// Deepest nesting that is accepted; a valid configuration needs far less.
const DEPTH_LIMIT: usize = 64;

/// Parses JSON of bounded depth.
pub(super) fn parse_json(text: &str) -> Result<Value, ConfigurationError> {
    if nesting_depth(text) > DEPTH_LIMIT {
        return Err(ConfigurationError::unreadable("nested too deeply"));
    }
    json::from_str(text).map_err(|_| ConfigurationError::unreadable("not complete JSON"))
}

/// Largest number of objects and lists within one another.
fn nesting_depth(text: &str) -> usize {
    let mut depth = 0usize;
    let mut largest = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        largest = largest.max(depth);
    }
    largest
}

/// The value as an object.
pub(super) fn object(value: &Value) -> Result<&Object, ConfigurationError> {
    match value {
        Value::Object(object) => Ok(object),
        _ => Err(ConfigurationError::unreadable("an object is expected")),
    }
}

/// The items of a list; none if it is missing or null.
pub(super) fn items(object: &Object, list: &str) -> Result<Vec<Value>, ConfigurationError> {
    match object.get(list) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Array(array)) => Ok(array.iter().cloned().collect()),
        Some(_) => Err(ConfigurationError::unreadable(list)),
    }
}

/// The name of an item, if it has one.
pub(super) fn name_of(item: &Value) -> Option<&str> {
    match item {
        Value::Object(object) => match object.get(NAME_FIELD) {
            Some(Value::String(name)) => Some(name),
            _ => None,
        },
        _ => None,
    }
}
