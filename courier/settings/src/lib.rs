//! The settings of a sender as an object of JSON or TOML, and their translation to those of the policy (`docs/courier.md`).
//!
//! The simulator's adapter (`courier/drill`) and the courier (`courier/core`, `courier/program`) read the same object, with the same
//! names and units: [`SenderSettings`] is its form, [`decode_settings`] translates it. The names in the object are part of the
//! deploy file and stay as they are, whatever the fields are called here. Names of zones become numbers by a [`NameTable`], and
//! states of endpoints are decoded by their names (`courier/protocol`) or codes (`courier/drill`).

mod decode;
mod endpoint_state;
mod error;
mod names;
mod sender_settings;

pub use decode::{decode_settings, micros_from_millis};
pub use endpoint_state::{endpoint_state_from_code, endpoint_state_from_name};
pub use error::{EndpointStateError, SettingsDecodeError, TimeError};
pub use names::NameTable;
pub use sender_settings::{
    Category, Deductions, DestinationSettings, Limits, LoadReportSettings, RuleSettings, SenderSettings,
    Tenant,
};
