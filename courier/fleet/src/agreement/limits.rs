//! Limits and timing of the agreement.

use quillmount_policy::Micros;

/// Limits and timing of one courier's part in the agreement. All couriers of a fleet use the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementLimits {
    /// Time between two ticks in microseconds. Twenty ticks a second cost an idle courier next to nothing.
    pub tick: Micros,
    /// Ticks between a leader's heartbeats: two may be lost or late before a follower doubts the leader.
    pub heartbeat_ticks: usize,
    /// Ticks without a message from the leader after which a voter starts an election; a random number of
    /// ticks, up to as many, is added. A leader without responses from a majority for so many ticks steps
    /// down.
    pub election_ticks: usize,
    /// Bytes by which the log file may grow before a snapshot is requested. Beyond twice as many, proposals
    /// are rejected.
    pub log_bytes: u64,
    /// Maximum length of one command in bytes. Commands are small facts about membership, journals, budgets
    /// and settlements, never message bodies.
    pub entry_bytes: usize,
    /// Maximum length of the state in a snapshot in bytes: it is sent in one message to a courier that lags
    /// behind.
    pub state_bytes: usize,
    /// Maximum bytes of commands in one append message; one command is always sent.
    pub message_bytes: u64,
    /// Append messages in flight to one courier before the next one waits for a response.
    pub inflight: usize,
    /// Maximum number of proposals that wait for their commit: what a leader in a partition can pile up.
    pub proposals: usize,
    /// Maximum number of read requests that wait for a majority to confirm the leader.
    pub reads: usize,
    /// Entries that a learner may lack when it is promoted to a voter: if it lacked more, its vote would be
    /// missing until it has caught up.
    pub promote_lag: u64,
    /// Seed of the random election time-outs, together with the node's id.
    pub seed: u64,
}

impl Default for AgreementLimits {
    fn default() -> Self {
        AgreementLimits {
            tick: 50_000,
            heartbeat_ticks: 2,
            election_ticks: 10,
            log_bytes: 1 << 20,
            entry_bytes: 64 << 10,
            state_bytes: 16 << 20,
            message_bytes: 256 << 10,
            inflight: 64,
            proposals: 1024,
            reads: 1024,
            promote_lag: 64,
            seed: 0,
        }
    }
}

impl AgreementLimits {
    /// The longest time in microseconds without a message from a leader until an election starts.
    pub fn max_election_timeout(&self) -> Micros {
        self.tick * 2 * self.election_ticks as Micros
    }
}
