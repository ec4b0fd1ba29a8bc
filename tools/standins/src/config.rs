//! The files that a courier under test is started with, and the part of its command line that names them.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

/// The configuration of the example, which the stand-ins change.
const EXAMPLE: &str = include_str!("../../../courier/example/config.json");
/// The configuration, in a courier's folder.
pub(crate) const CONFIG_FILE: &str = "config.json";
/// The operator file, in a courier's folder.
pub(crate) const OPERATOR_FILE: &str = "operator.json";
/// The folder of the journal, in a courier's folder.
pub(crate) const STATE_FOLDER: &str = "state";
/// Settings of the environment that a courier under test must not inherit.
const CLEARED_VARIABLES: [&str; 5] =
    ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_OPERATOR", "GW_INHERITED_FD"];

/// The configuration of the example.
///
/// # Errors
/// It is no JSON.
pub(crate) fn example() -> serde_json::Result<Value> {
    serde_json::from_str(EXAMPLE)
}

/// Merges changes into a value, field by field.
pub(crate) fn merge(into: &mut Value, changes: &Value) {
    match (into, changes) {
        (Value::Object(into), Value::Object(changes)) => {
            for (name, value) in changes {
                merge(into.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (into, changes) => *into = changes.clone(),
    }
}

/// An endpoint that is ready, as a line of the endpoint list in the configuration.
pub(crate) fn listed_endpoint(id: &str, addr: SocketAddr, destination: u64) -> Value {
    json!({"id": id, "addr": addr, "zone": "bkk-dc1", "kind": "bank",
           "cell": destination, "state": "ready", "weight": 1000.0, "started_ms": 0})
}

/// Lets a command run the courier with the files of this folder. `levels` is the value of `RUST_LOG`; empty: it is not set.
pub(crate) fn use_folder(command: &mut Command, folder: &Path, with_operator_file: bool, levels: &str) {
    command.arg("run");
    if with_operator_file {
        command.arg("--operator").arg(folder.join(OPERATOR_FILE));
    }
    if levels.is_empty() {
        command.env_remove("RUST_LOG");
    } else {
        command.env("RUST_LOG", levels);
    }
    for name in CLEARED_VARIABLES {
        command.env_remove(name);
    }
    command.env("GW_CONFIG", folder.join(CONFIG_FILE)).env("GW_STATE", folder.join(STATE_FOLDER));
}
