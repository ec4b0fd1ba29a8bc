//! Calls to the platform by the holder of a singleton role. Each call carries a fencing token, and each new holder
//! has a higher one. The platform refuses a token if it has seen a higher one; a refused token is not used again for
//! that subject.

use quillmount_wire::messages::Epoch;
use std::collections::BTreeSet;

/// Scope of a fencing token at the platform: it compares tokens among calls about the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencedSubject {
    /// All usage reports.
    Usage,
    /// The number of a service's endpoints in a zone.
    Scale {
        /// Service name as in the configuration.
        service: String,
        /// Zone as in the endpoint list.
        zone: String,
    },
}

/// The current fencing token of a role holder, and the subjects for which the platform refused it.
#[derive(Clone, Debug, Default)]
pub struct FencedCalls {
    token: Epoch,
    refused: BTreeSet<FencedSubject>,
}

impl FencedCalls {
    /// Sets the current token. A new token clears the refusals, because no subject has refused it yet.
    pub fn use_token(&mut self, token: Epoch) {
        if token != self.token {
            self.token = token;
            self.refused.clear();
        }
    }

    /// Whether the current token may be used for a call about this subject.
    #[must_use]
    pub fn may_call(&self, subject: &FencedSubject) -> bool {
        !self.refused.contains(subject)
    }

    /// Records that the platform refused the current token for this subject.
    pub fn record_refusal(&mut self, subject: FencedSubject) {
        self.refused.insert(subject);
    }
}
