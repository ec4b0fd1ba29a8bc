//! The operator's orders: requests to replace or patch the configuration.
//!
//! An order names the version that it builds on, and is applied only if that version is in force. An operator retries
//! an order whose outcome is uncertain. Digests of applied orders are therefore retained, and a retry is acknowledged
//! with the version that the first attempt produced.

use crate::breaks::{self, Break};
use crate::state::{AppliedOrder, ControlState};
use quillmount_wire::configuration::{Configuration, ConfigurationError, apply_patch};

/// Maximum number of applied orders that are retained to recognize retries; the oldest are dropped.
pub const APPLIED_ORDERS_LIMIT: usize = 16_384;

/// Offset basis of the 128-bit FNV-1a hash (Fowler-Noll-Vo).
const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
/// Prime of the 128-bit FNV-1a hash.
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// How an order changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// The body is a complete configuration.
    Put,
    /// The body adds, replaces and removes items by name.
    Patch,
}

/// An operator's request to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Whether the body is a complete configuration or a patch.
    pub kind: OrderKind,
    /// Version of the configuration that the order builds on.
    pub base: u64,
    /// JSON text of the configuration or of the patch.
    pub body: String,
}

/// Outcome of an attempt to apply an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is applied, by this attempt or an earlier one.
    Applied {
        /// Version that the order produced.
        version: u64,
    },
    /// The order builds on a version that is not the one in force; nothing changed.
    VersionMismatch {
        /// Version in force.
        current: u64,
    },
    /// The resulting configuration is invalid; nothing changed.
    Invalid(ConfigurationError),
    /// The order builds on a version whose orders are no longer retained. It is unknown whether an earlier attempt was
    /// applied, so the order can be neither acknowledged nor rejected.
    Expired,
}

/// Valid configuration that results from an order.
struct NextConfiguration {
    version: u64,
    /// JSON text.
    text: String,
}

impl Order {
    /// Digest (FNV-1a) by which a retry of the order is recognized.
    #[must_use]
    pub fn digest(&self) -> u128 {
        let kind = match self.kind {
            OrderKind::Put => 1u8,
            OrderKind::Patch => 2,
        };
        let base =
            if breaks::is_enabled(Break::DigestWithoutBase) { [0; 8] } else { self.base.to_le_bytes() };
        let bytes = std::iter::once(kind).chain(base).chain(self.body.bytes());
        bytes.fold(FNV_OFFSET, |digest, byte| (digest ^ u128::from(byte)).wrapping_mul(FNV_PRIME))
    }
}

impl ControlState {
    /// Applies an order. The state changes only if this attempt is the one that applies it, not for a retry.
    pub fn apply_order(&mut self, order: &Order) -> OrderOutcome {
        let digest = order.digest();
        if let Some(version) = self.applied_version(digest) {
            return OrderOutcome::Applied { version };
        }
        if order.base < self.forgotten_version && !breaks::is_enabled(Break::ForgottenRefused) {
            return OrderOutcome::Expired;
        }
        if order.base != self.version && !breaks::is_enabled(Break::BaseIgnored) {
            return OrderOutcome::VersionMismatch { current: self.version };
        }
        match self.next_configuration(order) {
            Ok(NextConfiguration { version, text }) => {
                self.version = version;
                self.configuration = text;
                self.applied_orders.push(AppliedOrder { digest, version });
                self.forget_old_orders();
                OrderOutcome::Applied { version }
            }
            Err(error) => OrderOutcome::Invalid(error),
        }
    }

    /// Version that the order with this digest produced; `None` if no such order is retained.
    fn applied_version(&self, digest: u128) -> Option<u64> {
        if breaks::is_enabled(Break::OrderForgotten) {
            return None;
        }
        let applied = self.applied_orders.iter().rev().find(|applied| applied.digest == digest)?;
        Some(applied.version)
    }

    /// Drops the oldest orders beyond the limit. Each dropped order builds on a version below the one that it
    /// produced, and no two applied orders build on the same version. All applied orders that build on
    /// `forgotten_version` or later are therefore still retained.
    fn forget_old_orders(&mut self) {
        let excess = self.applied_orders.len().saturating_sub(APPLIED_ORDERS_LIMIT);
        if let Some(newest_dropped) = self.applied_orders.drain(..excess).next_back() {
            self.forgotten_version = newest_dropped.version;
        }
    }

    /// The configuration that results from an order, checked against the version in force.
    fn next_configuration(&self, order: &Order) -> Result<NextConfiguration, ConfigurationError> {
        let text = match order.kind {
            OrderKind::Put => order.body.clone(),
            OrderKind::Patch => apply_patch(&self.configuration, &order.body)?,
        };
        let configuration = Configuration::parse(&text)?;
        configuration.validate(self.version)?;
        Ok(NextConfiguration { version: configuration.version, text })
    }
}
