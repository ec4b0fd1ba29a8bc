//! The platform: its list of endpoints, which is behind, and its fences.

use quillmount_control::FencedSubject;
use quillmount_test_support::random::Random;
use quillmount_test_support::simulation::{MILLI, SECOND, Time};
use quillmount_wire::messages::{Endpoint, Epoch, UsageWindow};
use std::collections::{BTreeMap, VecDeque};

/// The only service.
pub const SERVICE: &str = "llm";
/// The list is behind by this time.
const LIST_LAG: Time = 800 * MILLI;
/// Endpoints that are up at least.
const LEAST_ENDPOINTS: usize = 4;
/// Endpoints that are listed at most.
const MOST_ENDPOINTS: usize = 9;
/// An endpoint that drains is listed for this time.
const DRAINING_LISTED: Time = 6 * SECOND;

/// A call in a singleton role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    pub subject: FencedSubject,
    pub holder: usize,
    pub fence: Epoch,
    pub report: UsageWindow,
}

/// What the platform has.
pub struct Platform {
    endpoints: BTreeMap<String, Endpoint>,
    /// When each endpoint began to drain.
    draining_since: BTreeMap<String, Time>,
    /// The list as it was at each change, oldest first.
    history: VecDeque<(Time, Vec<Endpoint>)>,
    last_number: u64,
    /// The highest fence that was used for each subject.
    fences: BTreeMap<FencedSubject, Epoch>,
}

impl Platform {
    /// Some endpoints in three zones.
    pub fn new(now: Time) -> Platform {
        let mut platform = Platform {
            endpoints: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            history: VecDeque::new(),
            last_number: 0,
            fences: BTreeMap::new(),
        };
        (0..LEAST_ENDPOINTS + 2).for_each(|_| platform.add_endpoint());
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

    /// Lets an endpoint begin to drain or come, and takes out those that have drained.
    pub fn change_endpoints(&mut self, now: Time, random: &mut Random) {
        let drained: Vec<String> = self
            .draining_since
            .iter()
            .filter(|(_, since)| now > **since + DRAINING_LISTED)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &drained {
            self.endpoints.remove(id);
        }
        let up: Vec<String> = self
            .endpoints
            .values()
            .filter(|endpoint| !endpoint.draining)
            .map(|endpoint| endpoint.id.clone())
            .collect();
        if up.len() > LEAST_ENDPOINTS && random.chance(40) {
            let id = up[random.index(up.len())].clone();
            self.draining_since.insert(id.clone(), now);
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.draining = true;
            }
        } else if self.endpoints.len() < MOST_ENDPOINTS {
            self.add_endpoint();
        }
        self.history.push_back((now, self.endpoints.values().cloned().collect()));
        while self.history.len() > 2 && self.history[1].0 + LIST_LAG <= now {
            self.history.pop_front();
        }
    }

    /// The list as the platform shows it now.
    pub fn list(&self, now: Time) -> Vec<Endpoint> {
        let shown = self.history.iter().rev().find(|(at, _)| at + LIST_LAG <= now);
        shown.or(self.history.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// When the list began to show that an endpoint drains.
    pub fn drain_shown_at(&self, endpoint: &str) -> Option<Time> {
        self.draining_since.get(endpoint).map(|since| since + LIST_LAG)
    }

    /// Whether a call is accepted: its fence is not lower than one that was used on the subject.
    pub fn accept(&mut self, call: &PlatformCall) -> bool {
        let highest = self.fences.entry(call.subject.clone()).or_default();
        if call.fence < *highest {
            return false;
        }
        *highest = call.fence;
        true
    }
}
