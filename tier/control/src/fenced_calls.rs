//! Calls to the platform in a singleton role, each with a fencing token that rises with the holder: one that was refused because
//! another holder has used a higher token is never used again.

use quillmount_wire::messages::Epoch;
use std::collections::BTreeSet;

/// What the platform fences: calls of one role about one subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencedSubject {
    /// All reports of usage.
    Usage,
    /// The number of a service's endpoints in a zone.
    Scale {
        /// Name of the service.
        service: String,
        /// The zone.
        zone: String,
    },
}

/// The subjects on which a holder's present token was refused.
#[derive(Clone, Debug, Default)]
pub struct FencedCalls {
    token: Epoch,
    refused: BTreeSet<FencedSubject>,
}

impl FencedCalls {
    /// Goes on with this token. A higher one has not been refused anywhere.
    pub fn use_token(&mut self, token: Epoch) {
        if token != self.token {
            self.token = token;
            self.refused.clear();
        }
    }

    /// Whether a call about a subject may be made with the present token.
    #[must_use]
    pub fn may_call(&self, subject: &FencedSubject) -> bool {
        !self.refused.contains(subject)
    }

    /// Notes that the platform refused a call with the present token.
    pub fn record_refusal(&mut self, subject: FencedSubject) {
        self.refused.insert(subject);
    }
}
