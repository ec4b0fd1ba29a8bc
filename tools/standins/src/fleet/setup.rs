//! What a fleet is started with.

use crate::partner::Answer;
use crate::record::RecordedCall;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Gives a partner's answer to a call whose body has been read.
pub(super) type AnswerScript = Box<dyn Fn(&RecordedCall) -> Answer>;

/// A partner that is to be opened.
pub(super) struct PartnerSetup {
    pub destination: u64,
    pub answers: AnswerScript,
}

/// What a fleet is started with.
pub struct FleetSetup {
    /// The program `quillmount`.
    pub program: PathBuf,
    /// Other programs, by courier: for instance a previous version beside this one.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Number of couriers.
    pub couriers: usize,
    /// Seed of the couriers' own generators, and of [`FleetSetup::generator`].
    pub seed: u64,
    /// Merged into the section `fleet`, over `on`, `me`, `listen`, `members` and `voters` (the first three, or one), which the
    /// harness sets. `None`: there is no such section.
    pub fleet: Option<Value>,
    /// The operator file of each courier.
    pub operator: Value,
    /// Merged into the configuration of each courier, as in `{"limits": {"disk_mb": 0.1}}`.
    pub config: Value,
    /// Merged into the configuration of one courier, after `config`.
    pub configs: BTreeMap<usize, Value>,
    /// The value of `RUST_LOG`; empty: it is not set, and the operator file decides.
    pub levels: String,
    pub(super) partners: Vec<PartnerSetup>,
}

impl FleetSetup {
    /// A fleet without partners, and with default settings.
    pub fn new(program: impl Into<PathBuf>, couriers: usize) -> FleetSetup {
        FleetSetup {
            program: program.into(),
            programs: BTreeMap::new(),
            couriers,
            seed: 1,
            fleet: None,
            operator: json!({"version": 1}),
            config: json!({}),
            configs: BTreeMap::new(),
            levels: "info".into(),
            partners: Vec::new(),
        }
    }

    /// Adds a partner at this destination; `answers` gives the answer to each call whose body has been read. Partners are
    /// numbered from 0 in the order in which they are added.
    pub fn partner(&mut self, dest: u64, answers: impl Fn(&RecordedCall) -> Answer + 'static) {
        self.partners.push(PartnerSetup { destination: dest, answers: Box::new(answers) });
    }

    /// The generator for random choices of the test.
    pub fn generator(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed)
    }
}
