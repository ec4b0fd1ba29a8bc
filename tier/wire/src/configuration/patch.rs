//! Patches of named items of a configuration. They are applied to the JSON document, so that fields that this version does not know
//! are preserved.

use super::document::{NAMED_LISTS, items, name_of, object, parse_json};
use super::error::ConfigurationError;
use miniserde::json::{self, Array, Object, Value};
use std::collections::BTreeSet;

/// Field with the version of a configuration or patch.
const VERSION_FIELD: &str = "Gen";
/// Field of a patch with the items to add or replace, by list.
const UPSERT_FIELD: &str = "Upsert";
/// Field of a patch with the names of the items to remove, by list.
const REMOVE_FIELD: &str = "Remove";
/// Field with the limits on clients, which a patch replaces as a whole.
const LIMITS_FIELD: &str = "Limits";

/// Applies a patch of named items to the text of the current configuration, which may be empty, and returns the text of the complete
/// new configuration. The patch contains the new version (`Gen`), items to add or replace (`Upsert`) and names to remove (`Remove`).
///
/// # Errors
///
/// [`ConfigurationError::Unreadable`] if one of the texts is not a valid document.
pub fn apply_patch(current: &str, patch: &str) -> Result<String, ConfigurationError> {
    let base = parse_json(if current.is_empty() { "{}" } else { current })?;
    let patch_object = parse_json(patch)?;
    let mut result = object(&base)?.clone();
    let patch_object = object(&patch_object)?;
    let version =
        patch_object.get(VERSION_FIELD).ok_or_else(|| ConfigurationError::unreadable("Gen is missing"))?;
    result.insert(VERSION_FIELD.to_owned(), version.clone());
    let empty = Value::Object(Object::new());
    let upsert = object(patch_object.get(UPSERT_FIELD).unwrap_or(&empty))?;
    let remove = object(patch_object.get(REMOVE_FIELD).unwrap_or(&empty))?;
    for list in NAMED_LISTS {
        let merged = merge(items(&result, list)?, items(upsert, list)?, items(remove, list)?, list)?;
        if let Some(merged) = merged {
            result.insert(list.to_owned(), merged);
        }
    }
    if let Some(limits) = upsert.get(LIMITS_FIELD) {
        result.insert(LIMITS_FIELD.to_owned(), limits.clone());
    }
    Ok(json::to_string(&Value::Object(result)))
}

/// Applies the patch to one list; `None` if the patch does not change this list.
fn merge(
    mut items: Vec<Value>,
    upsert: Vec<Value>,
    remove: Vec<Value>,
    list: &str,
) -> Result<Option<Value>, ConfigurationError> {
    if upsert.is_empty() && remove.is_empty() {
        return Ok(None);
    }
    let removed_names = names_to_remove(remove, list)?;
    items.retain(|item| name_of(item).is_none_or(|name| !removed_names.contains(name)));
    for item in upsert {
        let name = name_of(&item).ok_or_else(|| ConfigurationError::unreadable(list))?.to_owned();
        match items.iter_mut().find(|existing| name_of(existing) == Some(name.as_str())) {
            Some(existing) => *existing = item,
            None => items.push(item),
        }
    }
    let mut array = Array::new();
    items.into_iter().for_each(|item| array.push(item));
    Ok(Some(Value::Array(array)))
}

fn names_to_remove(remove: Vec<Value>, list: &str) -> Result<BTreeSet<String>, ConfigurationError> {
    let name_from = |value| match value {
        Value::String(name) => Ok(name),
        _ => Err(ConfigurationError::unreadable(list)),
    };
    remove.into_iter().map(name_from).collect()
}
