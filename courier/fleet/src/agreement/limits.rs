//! Limits and timing of the Raft protocol.

use quillmount_policy::Micros;

/// Limits and timing of a courier's [`Agreement`](super::Agreement). All couriers of a fleet use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementLimits {
    /// Time between two ticks in microseconds. The load of twenty ticks per second on an idle courier is negligible.
    pub tick_interval: Micros,
    /// Ticks between two heartbeats of a leader. By default two heartbeats in a row may be lost or late before a
    /// follower starts an election.
    pub heartbeat_ticks: usize,
    /// Minimum election timeout in ticks: a voter that receives no message from the leader for this time plus a random
    /// number of ticks, at most as many, starts an election. A leader that receives no responses from a majority
    /// for this number of ticks steps down.
    pub election_ticks: usize,
    /// Bytes by which the log file may grow before a snapshot is requested. If the file grows by twice this number,
    /// proposals are rejected.
    pub log_bytes: u64,
    /// Maximum length of one command in bytes. Commands contain small changes of membership, journals, budgets
    /// and settlements, never message bodies.
    pub max_command_bytes: usize,
    /// Maximum length of the state in a snapshot in bytes. A snapshot is sent to a lagging courier in a single message.
    pub max_state_bytes: usize,
    /// Maximum total length of the commands in one append message in bytes. A message contains at least one command
    /// even if that is longer.
    pub max_append_bytes: u64,
    /// Maximum number of append messages in flight to one courier.
    pub max_in_flight: usize,
    /// Maximum number of proposals that are not committed yet. Bounds the backlog of a leader in a network partition.
    pub max_proposals: usize,
    /// Maximum number of read requests that a majority has not confirmed yet.
    pub max_reads: usize,
    /// Maximum number of entries that a learner may lack when it is promoted to a voter. A voter that lacks more could
    /// not count towards a quorum until it has caught up.
    pub max_promotion_lag: u64,
    /// Seed of the random election timeouts. It is combined with the node id.
    pub seed: u64,
}

impl Default for AgreementLimits {
    fn default() -> Self {
        AgreementLimits {
            tick_interval: 50_000,
            heartbeat_ticks: 2,
            election_ticks: 10,
            log_bytes: 1 << 20,
            max_command_bytes: 64 << 10,
            max_state_bytes: 16 << 20,
            max_append_bytes: 256 << 10,
            max_in_flight: 64,
            max_proposals: 1024,
            max_reads: 1024,
            max_promotion_lag: 64,
            seed: 0,
        }
    }
}

impl AgreementLimits {
    /// Maximum time in microseconds between the last message of a leader and the start of an election.
    pub fn max_election_timeout(&self) -> Micros {
        self.tick_interval * 2 * self.election_ticks as Micros
    }
}
