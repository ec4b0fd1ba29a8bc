//! Access to a configuration as a JSON document, for patches of named items and for error messages.

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
/// Field with the name of an item.
const NAME_FIELD: &str = "Name";
/// Deepest accepted nesting; a valid configuration is nested far less deeply.
const MAX_NESTING_DEPTH: usize = 64;

/// Parses JSON, and rejects text that is nested more deeply than [`MAX_NESTING_DEPTH`].
pub(super) fn parse_json(text: &str) -> Result<Value, ConfigurationError> {
    if nesting_depth(text) > MAX_NESTING_DEPTH {
        return Err(ConfigurationError::unreadable("nested too deeply"));
    }
    json::from_str(text).map_err(|_| ConfigurationError::unreadable("not complete JSON"))
}

/// Returns the largest number of objects and lists that are nested within one another.
fn nesting_depth(text: &str) -> usize {
    let mut depth = 0usize;
    let mut max_depth = 0usize;
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
        max_depth = max_depth.max(depth);
    }
    max_depth
}

/// Returns the value as an object, or an error if it has another type.
pub(super) fn object(value: &Value) -> Result<&Object, ConfigurationError> {
    match value {
        Value::Object(object) => Ok(object),
        _ => Err(ConfigurationError::unreadable("an object is expected")),
    }
}

/// Returns the items of the field `list`; an empty list if the field is missing or null, an error if it is not a list.
pub(super) fn items(object: &Object, list: &str) -> Result<Vec<Value>, ConfigurationError> {
    match object.get(list) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Array(array)) => Ok(array.iter().cloned().collect()),
        Some(_) => Err(ConfigurationError::unreadable(list)),
    }
}

/// Returns the name of an item, if it has one.
pub(super) fn name_of(item: &Value) -> Option<&str> {
    match item {
        Value::Object(object) => match object.get(NAME_FIELD) {
            Some(Value::String(name)) => Some(name),
            _ => None,
        },
        _ => None,
    }
}
