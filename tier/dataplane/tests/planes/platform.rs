//! The platform: its endpoint list, which lags behind the endpoints, and its checks of fencing tokens.

use quillmount_control::FencedSubject;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, SECOND, Time};
use quillmount_wire::messages::{Endpoint, Epoch, UsageWindow};
use std::collections::{BTreeMap, VecDeque};

/// Name of the only service.
pub const SERVICE: &str = "llm";
/// Time by which the list lags behind the endpoints.
const LIST_LAG: Time = 800 * MILLI;
/// Minimum number of endpoints that are not draining.
const MIN_OPEN_ENDPOINTS: usize = 4;
/// Maximum number of listed endpoints.
const MAX_LISTED_ENDPOINTS: usize = 9;
/// Time for which a draining endpoint stays in the list.
const DRAINING_LISTED_TIME: Time = 6 * SECOND;

/// A call in a singleton role, with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    pub subject: FencedSubject,
    pub holder: usize,
    pub fence: Epoch,
    pub report: UsageWindow,
}

/// The state of the platform.
pub struct Platform {
    endpoints: BTreeMap<String, Endpoint>,
    /// Time at which each draining endpoint began to drain.
    draining_since: BTreeMap<String, Time>,
    /// The list after each change with its time, oldest first.
    history: VecDeque<(Time, Vec<Endpoint>)>,
    last_number: u64,
    /// Highest fencing token used for each subject.
    fences: BTreeMap<FencedSubject, Epoch>,
}

impl Platform {
    /// A platform with six endpoints in three zones.
    pub fn new(now: Time) -> Platform {
        let mut platform = Platform {
            endpoints: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            history: VecDeque::new(),
            last_number: 0,
            fences: BTreeMap::new(),
        };
        (0..MIN_OPEN_ENDPOINTS + 2).for_each(|_| platform.add_endpoint());
        platform
            .history
            .push_back((now.saturating_sub(LIST_LAG), platform.endpoints.values().cloned().collect()));
        platform
    }

    fn add_endpoint(&mut self) {
        self.last_number += 1;
        let id = format!("i-{}", self.last_number);
        let endpoint = Endpoint {
            id: id.clone(),
            service: SERVICE.to_owned(),
            address: format!("10.9.0.{}:80", self.last_number),
            zone: format!("zone-{}", self.last_number % 3),
            capacity: 16,
            draining: false,
            warmup_left_ms: 0.0,
            models: Vec::new(),
        };
        self.endpoints.insert(id, endpoint);
    }

    /// Starts to drain an endpoint or adds one, and removes those that have drained.
    pub fn change_endpoints(&mut self, now: Time, random: &mut Random) {
        let drained: Vec<String> = self
            .draining_since
            .iter()
            .filter(|(_, draining_since_time)| now > **draining_since_time + DRAINING_LISTED_TIME)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &drained {
            self.endpoints.remove(id);
        }
        let open_ids: Vec<String> = self
            .endpoints
            .values()
            .filter(|endpoint| !endpoint.draining)
            .map(|endpoint| endpoint.id.clone())
            .collect();
        if open_ids.len() > MIN_OPEN_ENDPOINTS && random.chance(40) {
            let id = open_ids[random.index(open_ids.len())].clone();
            self.draining_since.insert(id.clone(), now);
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.draining = true;
            }
        } else if self.endpoints.len() < MAX_LISTED_ENDPOINTS {
            self.add_endpoint();
        }
        self.history.push_back((now, self.endpoints.values().cloned().collect()));
        while self.history.len() > 2 && self.history[1].0 + LIST_LAG <= now {
            self.history.pop_front();
        }
    }

    /// The list that the platform returns now, which lags by [`LIST_LAG`].
    pub fn list(&self, now: Time) -> Vec<Endpoint> {
        let visible = self.history.iter().rev().find(|(changed_at, _)| changed_at + LIST_LAG <= now);
        visible.or(self.history.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Time from which the list shows an endpoint as draining.
    pub fn drain_shown_at(&self, endpoint: &str) -> Option<Time> {
        self.draining_since.get(endpoint).map(|draining_since_time| draining_since_time + LIST_LAG)
    }

    /// Accepts a call unless its fencing token is lower than one already used for the subject; returns whether it is accepted.
    pub fn accept(&mut self, call: &PlatformCall) -> bool {
        let highest = self.fences.entry(call.subject.clone()).or_default();
        if call.fence < *highest {
            return false;
        }
        *highest = call.fence;
        true
    }
}
