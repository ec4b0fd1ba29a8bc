//! What the core agrees on.

use quillmount_wire::frame::FrameError;
use quillmount_wire::messages::{DiskId, Placement, UsageWindow, decode, encode};
use rkyv::{Archive, Deserialize, Serialize};

/// An order of the operator that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AppliedOrder {
    /// Digest of its kind, base and body.
    pub digest: u128,
    /// Version that it made.
    pub version: u64,
}

/// The whole state that the core replicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ControlState {
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Its whole JSON text.
    pub configuration: String,
    /// Orders that were taken, oldest first; a bounded number.
    pub applied_orders: Vec<AppliedOrder>,
    /// Version that the newest order that was forgotten made: of orders that build on older ones nothing is known.
    pub forgotten_version: u64,
    pub placement: Placement,
    /// Rises with every change of the placement.
    pub placement_version: u64,
    /// Stores that are to be emptied.
    pub retiring: Vec<DiskId>,
    /// Usage reports, oldest first, the way they are sent.
    pub usage: Vec<UsageWindow>,
}

impl ControlState {
    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<ControlState, FrameError> {
        decode(bytes)
    }

    pub(crate) fn placement_changed(&mut self) {
        self.placement_version += 1;
    }
}
