//! The operator's configuration orders.

use crate::breaks::{self, Break};
use crate::state::{AppliedOrder, ControlState};
use quillmount_wire::configuration::{Configuration, ConfigurationError, apply_patch};

/// Orders remembered, so that one that comes again is acknowledged again; the oldest go first.
pub const APPLIED_ORDERS_LIMIT: usize = 16_384;

/// How an order changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// The body is a whole configuration.
    Put,
    /// The body changes named items.
    Patch,
}

/// An order of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub kind: OrderKind,
    /// The version that it builds on.
    pub base: u64,
    pub body: String,
}

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// In force from now on, or taken before.
    Applied {
        version: u64,
    },
    /// Another version is current.
    VersionMismatch {
        current: u64,
    },
    Invalid(ConfigurationError),
    /// It builds on a version of which the orders are no longer remembered: it may have been taken, so that nothing is said.
    Expired,
}

/// FNV-1a over 128 bits.
const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl Order {
    /// Digest by which an order that comes again is known.
    pub fn digest(&self) -> u128 {
        let kind = match self.kind {
            OrderKind::Put => 1u8,
            OrderKind::Patch => 2,
        };
        let base = self.base.to_le_bytes();
        let base = if breaks::on(Break::DigestWithoutBase) { [0; 8] } else { base };
        let bytes = std::iter::once(kind).chain(base).chain(self.body.bytes());
        bytes.fold(FNV_OFFSET, |digest, byte| (digest ^ u128::from(byte)).wrapping_mul(FNV_PRIME))
    }
}

impl ControlState {
    /// Takes an order or says why not; only a verdict of `Applied` changes the state.
    pub fn apply_order(&mut self, order: &Order) -> OrderOutcome {
        let digest = order.digest();
        let known = |applied: &&AppliedOrder| applied.digest == digest && !breaks::on(Break::OrderForgotten);
        if let Some(applied) = self.applied_orders.iter().rev().find(known) {
            return OrderOutcome::Applied { version: applied.version };
        }
        if order.base < self.forgotten_version && !breaks::on(Break::ForgottenRefused) {
            return OrderOutcome::Expired;
        }
        if order.base != self.version && !breaks::on(Break::BaseIgnored) {
            return OrderOutcome::VersionMismatch { current: self.version };
        }
        match self.next_configuration(order) {
            Ok((version, text)) => {
                self.version = version;
                self.configuration = text;
                self.applied_orders.push(AppliedOrder { digest, version });
                self.forget_old_orders();
                OrderOutcome::Applied { version }
            }
            Err(error) => OrderOutcome::Invalid(error),
        }
    }

    /// Forgets the oldest orders beyond the limit. Each built on a version below the one that it made, and no other order that
    /// was taken builds on these.
    fn forget_old_orders(&mut self) {
        let excess = self.applied_orders.len().saturating_sub(APPLIED_ORDERS_LIMIT);
        if let Some(last) = self.applied_orders.drain(..excess).next_back() {
            self.forgotten_version = last.version;
        }
    }

    fn next_configuration(&self, order: &Order) -> Result<(u64, String), ConfigurationError> {
        let text = match order.kind {
            OrderKind::Put => order.body.clone(),
            OrderKind::Patch => apply_patch(&self.configuration, &order.body)?,
        };
        let configuration = Configuration::read(&text)?;
        configuration.check(self.version)?;
        Ok((configuration.version, text))
    }
}
