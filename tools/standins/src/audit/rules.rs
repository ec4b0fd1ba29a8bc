//! What an audit allows.

use quillmount_policy::Micros;
use std::collections::BTreeMap;

/// Whether messages of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Not after a call that may have run.
    Once,
    /// With their idempotency key, within a span after the first call that may have run.
    Keyed {
        /// The span, in microseconds.
        span: Micros,
    },
    /// Always.
    Safe,
}

/// The rules of an audit; times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRules {
    /// Classes by name; messages of others may not be repeated.
    pub classes: BTreeMap<String, RepeatPolicy>,
    /// A notice may come this long after the deadline of its message.
    pub grace: Micros,
    /// A call may arrive this long after it was sent, and an answer this long after it was written.
    pub transit: Micros,
    /// Answers written this long before a fault of a courier, or after it, may not have been received or stored.
    pub slack: Micros,
    /// Connections of a partner may exceed a lowered budget for this long.
    pub attrition: Micros,
}

impl AuditRules {
    /// The policy of a class.
    pub(super) fn repeat_policy(&self, class: &str) -> RepeatPolicy {
        self.classes.get(class).copied().unwrap_or(RepeatPolicy::Once)
    }
}

impl Default for AuditRules {
    /// The example's classes, and times for a loaded machine.
    fn default() -> Self {
        let keyed = RepeatPolicy::Keyed { span: 6_000_000 };
        AuditRules {
            classes: [("fee-debit".into(), RepeatPolicy::Once), ("paid-notice".into(), keyed)].into(),
            grace: 3_000_000,
            transit: 1_000_000,
            slack: 2_000_000,
            attrition: 3_000_000,
        }
    }
}
