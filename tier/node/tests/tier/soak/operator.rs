//! Operators that change the configuration: whole and by patch, invalid, and two on the same version.

use super::bystanders::{LOST_BACKEND, LOST_ROUTE};
use super::{FIRST_VERSION, Soak};
use crate::callers::order_at;
use crate::configurations::configuration_with;
use crate::http::{Answer, http};
use quillmount_test_support::random::Random;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Routes of so many acknowledged changes are in force at a time.
const KEPT_ROUTES: usize = 6;
const MOST_BETWEEN_MS: u64 = 1200;
/// Whole configurations that are large, and how much larger they are, bytes.
const PADDED_PERCENT: u64 = 25;
const PADDING_BYTES: usize = 1 << 20;
/// Changes that give the route for batch jobs of an earlier change another name.
const RENAMING_PERCENT: u64 = 40;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// For how long the newest configuration is asked for at the end.
const READ_BACK: Duration = Duration::from_secs(10);

/// A change that was sent until its answer was clear, or the run ended.
pub struct Change {
    /// The number of the routes that it adds, of no other change.
    pub number: u64,
    pub version: u64,
    pub base: u64,
    pub is_valid: bool,
    /// Another change was sent on the same base at the same time.
    pub is_contested: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// The clear answer.
    pub status: Option<u16>,
    /// Numbers of the routes that it takes away.
    pub removes: Vec<u64>,
    /// The new name of the route for batch jobs of an earlier change, if it gives it one.
    renames: Option<Renaming>,
}

/// A new name of the route for batch jobs of a change.
#[derive(Clone)]
struct Renaming {
    /// Number of the change that added it.
    number: u64,
    name: String,
}

impl Change {
    pub fn is_acknowledged(&self) -> bool {
        self.status == Some(200)
    }
}

/// The routes that the change of this number adds, for requests and for batch jobs, separated by a comma.
fn routes(number: u64) -> String {
    routes_with(number, &bulk_name(number))
}

/// The same, with this name of the route for batch jobs.
fn routes_with(number: u64, bulk_name: &str) -> String {
    format!(
        r#"{{"Name":"added-{number}","Host":"a.example","PathPrefix":"/added-{number}/","Mode":"mutating","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"llm","Tries":2,"Public":false}},
        {}"#,
        bulk_route(number, bulk_name)
    )
}

/// The name with which the route for batch jobs of a change begins.
fn bulk_name(number: u64) -> String {
    format!("added-bulk-{number}")
}

/// The route for batch jobs that the change of this number adds, with a name.
fn bulk_route(number: u64, name: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"a.example","PathPrefix":"/added-bulk-{number}/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Backend":"llm","Tries":3,"Public":false,"DueMs":8000,"RetainS":40}}"#
    )
}

/// A configuration of the soak with further routes, each followed by a comma.
pub fn configuration_of(version: u64, routes: &str) -> String {
    let text = configuration_with(version, &format!("{LOST_ROUTE}{routes}"));
    text.replace(r#""Backends":["#, &format!(r#""Backends":[{LOST_BACKEND}"#))
}

/// An order as it is sent.
struct Order {
    path: &'static str,
    body: String,
    change: Change,
}

struct Operator<'soak> {
    soak: &'soak Soak,
    random: Random,
    /// Draws which configurations are large, beside the other draws.
    padding: Random,
    /// Draws which routes get another name, likewise.
    renaming: Random,
    /// The newest acknowledged version, and the routes it has.
    version: u64,
    routes: Vec<u64>,
    /// Names of routes for batch jobs that have got another one, by the number of their change.
    new_names: BTreeMap<u64, String>,
    newest_route: u64,
    changes: Vec<Change>,
}

impl Operator<'_> {
    fn change(&mut self, version: u64, is_contested: bool) -> Change {
        self.newest_route += 1;
        let number = self.newest_route;
        let now = Instant::now();
        let kept = self.routes.len().min(KEPT_ROUTES - 1);
        let removes = self.routes[..self.routes.len() - kept].to_vec();
        let renames = self.draw_renaming(version, &removes);
        let (base, is_valid, status) = (self.version, true, None);
        let (sent_at, ended_at) = (now, now);
        Change { number, version, base, is_valid, is_contested, sent_at, ended_at, status, removes, renames }
    }

    /// Draws a route for batch jobs that gets a new name, among those that are not taken away.
    fn draw_renaming(&mut self, version: u64, removes: &[u64]) -> Option<Renaming> {
        let kept: Vec<u64> = self.routes.iter().filter(|route| !removes.contains(route)).copied().collect();
        if kept.is_empty() || !self.renaming.chance(RENAMING_PERCENT) {
            return None;
        }
        let number = kept[self.renaming.index(kept.len())];
        Some(Renaming { number, name: format!("{}-of-{version}", bulk_name(number)) })
    }

    /// The name that the route for batch jobs of an earlier change has.
    fn name_of(&self, number: u64) -> String {
        self.new_names.get(&number).cloned().unwrap_or_else(|| bulk_name(number))
    }

    fn valid(&mut self, version: u64, is_contested: bool) -> Order {
        let change = self.change(version, is_contested);
        let number = change.number;
        if self.random.chance(50) {
            let body = self.patch(&change);
            return Order { path: "/-/config/patch", body, change };
        }
        let kept = self.routes.iter().filter(|kept| !change.removes.contains(kept));
        let renamed = change.renames.as_ref();
        let name = |number: u64| match renamed.filter(|renaming| renaming.number == number) {
            Some(renaming) => renaming.name.clone(),
            None => self.name_of(number),
        };
        let routes: String =
            kept.chain([&number]).map(|number| routes_with(*number, &name(*number)) + ",").collect();
        let mut body = configuration_of(version, &routes);
        if self.padding.chance(PADDED_PERCENT) {
            body.push_str(&" ".repeat(PADDING_BYTES));
        }
        Order { path: "/-/config/put", body, change }
    }

    /// A change as a patch. A route that gets a new name is removed by its former one.
    fn patch(&self, change: &Change) -> String {
        let names = |number: &u64| format!(r#""added-{number}","{}""#, self.name_of(*number));
        let mut removed: Vec<String> = change.removes.iter().map(names).collect();
        let mut added = vec![routes(change.number)];
        if let Some(Renaming { number, name }) = &change.renames {
            removed.push(format!("\"{}\"", self.name_of(*number)));
            added.push(bulk_route(*number, name));
        }
        format!(
            r#"{{"Gen":{},"Upsert":{{"Routes":[{}]}},"Remove":{{"Routes":[{}]}}}}"#,
            change.version,
            added.join(","),
            removed.join(",")
        )
    }

    fn invalid(&mut self) -> Order {
        let next = self.version + 1;
        let change = Change { is_valid: false, ..self.change(next, false) };
        let added = routes(change.number) + ",";
        if self.random.chance(25) {
            let added = routes(change.number);
            // The routes would name a service that is not there.
            let body = format!(
                r#"{{"Gen":{next},"Upsert":{{"Routes":[{added}]}},"Remove":{{"Backends":["llm"]}}}}"#
            );
            return Order { path: "/-/config/patch", body, change };
        }
        let body = match self.random.below(6) {
            0 => configuration_of(next, &added.replace("\"llm\"", "\"unknown\"")),
            1 => configuration_of(next, &added.replace(r#""DeadlineMs":4000"#, r#""DeadlineMs":0"#)),
            2 => configuration_of(self.version, &added),
            3 => configuration_of(next, &added).trim_end_matches('}').to_owned(),
            4 => configuration_of(next, &(added.clone() + &added.replace("\"Name\":\"", "\"Name\":\"twin-"))),
            _ => configuration_of(next, &added).replace(
                r#""Accounts":["#,
                r#""Accounts":[{"Name":"other","Apikeys":["key-of-kaje"],"Prio":1},"#,
            ),
        };
        Order { path: "/-/config/put", body, change }
    }

    fn step(&mut self) {
        let next = self.version + 1 + self.random.below(3);
        let orders = match self.random.below(10) {
            0 | 1 => vec![self.invalid()],
            2 | 3 => vec![self.valid(next, true), self.valid(next + 1, true)],
            _ => vec![self.valid(next, false)],
        };
        self.soak.offered.lock().unwrap().extend(orders.iter().map(|order| order.change.number));
        let starts: Vec<usize> = orders.iter().map(|_| self.random.index(self.soak.admins.len())).collect();
        let soak = self.soak;
        let sent: Vec<Change> = std::thread::scope(|scope| {
            let pairs = orders.into_iter().zip(starts);
            let senders: Vec<_> =
                pairs.map(|(order, start)| scope.spawn(move || send(soak, order, start))).collect();
            senders.into_iter().map(|sender| sender.join().unwrap()).collect()
        });
        for change in sent {
            if change.is_acknowledged() && change.is_valid {
                self.version = change.version;
                self.routes.retain(|route| !change.removes.contains(route));
                self.routes.push(change.number);
                if let Some(Renaming { number, name }) = &change.renames {
                    self.new_names.insert(*number, name.clone());
                }
            }
            self.changes.push(change);
        }
    }
}

/// Sends an order unchanged until the answer is clear.
fn send(soak: &Soak, order: Order, start: usize) -> Change {
    let mut admins = soak.admins.clone();
    admins.rotate_left(start);
    let Order { path, body, mut change } = order;
    change.sent_at = Instant::now();
    while change.status.is_none() && !soak.is_stopped() {
        let status = order_at(&admins, path, change.base, &body);
        change.status = status.filter(|status| *status < 500 && ![408, 429].contains(status));
        change.ended_at = Instant::now();
        if change.status.is_none() {
            admins.rotate_left(1);
            std::thread::sleep(RETRY_PAUSE);
        }
    }
    change
}

/// Plays operators until the run stops, or until the state of a change is unclear.
pub fn play(soak: &Soak) -> Vec<Change> {
    let random = Random::from_mixed_seed(soak.seed ^ 0x6f70);
    let padding = Random::from_mixed_seed(soak.seed ^ 0x7061);
    let renaming = Random::from_mixed_seed(soak.seed ^ 0x6e61);
    let (version, routes, changes) = (FIRST_VERSION, Vec::new(), Vec::new());
    let new_names = BTreeMap::new();
    let mut operator =
        Operator { soak, random, padding, renaming, version, routes, new_names, newest_route: 0, changes };
    while !soak.is_stopped() {
        operator.step();
        let pause = operator.random.below(MOST_BETWEEN_MS);
        std::thread::sleep(Duration::from_millis(pause));
    }
    operator.changes
}

/// Checks that the newest acknowledged configuration is read back, with its route, or one whose answer was not clear.
pub fn read_back(soak: &Soak, changes: &[Change]) -> Option<String> {
    let acknowledged = changes.iter().filter(|change| change.is_acknowledged());
    let newest = acknowledged.max_by_key(|change| change.version);
    let unclear = changes.iter().filter(|change| change.is_valid && change.status.is_none());
    let mut allowed: Vec<(u64, u64)> =
        unclear.chain(newest).map(|change| (change.version, change.number)).collect();
    if newest.is_none() {
        // It has none of the routes that changes add.
        allowed.push((FIRST_VERSION, 0));
    }
    let until = Instant::now() + READ_BACK;
    let mut seen = None;
    while Instant::now() < until {
        seen = soak.admins.iter().filter_map(|admin| get(admin)).find(|answer| answer.status == 200);
        let Some(answer) = &seen else {
            std::thread::sleep(RETRY_PAUSE);
            continue;
        };
        let holds = |(version, route): &(u64, u64)| {
            let has_route = *route == 0 || answer.body.contains(&format!("/added-{route}/"));
            has_route && answer.body.contains(&format!("\"Gen\":{version},"))
        };
        if allowed.iter().any(holds) {
            return None;
        }
        break;
    }
    let seen = seen.map(|answer| answer.body);
    Some(format!("CONFIG: read back is not one of {allowed:?}: {seen:?}"))
}

fn get(admin: &str) -> Option<Answer> {
    http(admin, "GET /-/config/get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}
