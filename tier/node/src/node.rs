//! What all parts of a process share: settings, tables, links, dispatch.

use crate::rpc::PeerLinks;
use crate::upstream::Upstreams;
use quillmount_dataplane::dispatch::{Dispatcher, ServiceShare};
use quillmount_dataplane::routes::RouteTable;
use quillmount_window::Parameters;
use quillmount_wire::messages::{Endpoint, NodeInfo, Placement, ServiceLoad, TableVersions, UsageWindow};
use quillmount_wire::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Usage windows a process tells of; older ones were reported.
const USAGE_WINDOWS: usize = 6;

/// An answer of the primary counts as news of it for so long, microseconds.
const RECENT_ANSWER: u64 = 1_500_000;

/// Parameters of the windows. One process has one to four calls at an endpoint where many share it: with the note's own constant
/// growth of one call and three times the baseline, a single slow answer closes such a window, and requests go to worse
/// endpoints (`docs/worth.md`, rounds).
const WINDOW: Parameters = Parameters { alpha: 0.7, gamma: 0.5, beta: 3.0, multiple: 5.0 };

/// Tables of a process: immutable, swapped whole.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    pub versions: TableVersions,
    pub routes: Rc<RouteTable>,
    pub placement: Rc<Placement>,
    pub endpoints: Rc<Vec<Endpoint>>,
    /// Processes that send to endpoints.
    pub senders: u32,
}

/// A process of the serving tier.
pub struct Node {
    pub settings: Settings,
    pub info: NodeInfo,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Steady clock.
    started: u64,
    pub links: PeerLinks,
    pub upstreams: Upstreams,
    pub dispatcher: RefCell<Dispatcher>,
    /// Told when an endpoint may have room again.
    pub capacity_freed: Notify,
    /// The process was asked to stop.
    pub stopping: Cell<bool>,
    /// Told when something is to be reported to the core at once.
    pub report_due: Notify,
    /// Who answers polls: the core's primary, or a relay.
    pub contact: RefCell<Option<String>>,
    /// Internal address of the core's primary, as last told.
    pub known_primary: RefCell<Option<String>>,
    /// Couriers that pass polls on.
    pub relays: RefCell<Vec<String>>,
    /// Internal addresses of the core's members, as this machine's disk knows them.
    pub members: RefCell<Vec<String>>,
    /// What services are asked for, as the primary last told; a store's.
    pub loads: RefCell<Rc<Vec<ServiceLoad>>>,
    /// When the primary last answered, steady clock.
    pub last_answer: Cell<u64>,
    /// `Admin` addresses of the seeds, as the settings file names them now.
    seeds: RefCell<Vec<String>>,
    tables: watch::Sender<Rc<TableSnapshot>>,
    usage: RefCell<BTreeMap<u64, HashMap<String, u64>>>,
    /// Requests that wait for room, by service.
    waiting: RefCell<HashMap<String, u32>>,
}

impl Node {
    pub fn new(settings: Settings, info: NodeInfo) -> Rc<Node> {
        let incarnation = crate::clock::random_id();
        let dispatcher = Dispatcher::new(incarnation, &settings.zone, WINDOW);
        Rc::new(Node {
            seeds: RefCell::new(settings.seeds.clone()),
            settings,
            info,
            incarnation,
            started: crate::clock::micros(),
            links: PeerLinks::default(),
            upstreams: Upstreams::default(),
            dispatcher: RefCell::new(dispatcher),
            capacity_freed: Notify::new(),
            stopping: Cell::new(false),
            report_due: Notify::new(),
            contact: RefCell::new(None),
            known_primary: RefCell::new(None),
            relays: RefCell::default(),
            members: RefCell::default(),
            loads: RefCell::default(),
            last_answer: Cell::new(0),
            tables: watch::Sender::new(Rc::default()),
            usage: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Seconds since the process began.
    pub fn uptime_s(&self) -> f64 {
        crate::clock::micros().saturating_sub(self.started) as f64 / 1e6
    }

    /// The tables in force.
    pub fn tables(&self) -> Rc<TableSnapshot> {
        self.tables.borrow().clone()
    }

    /// Told of every new snapshot.
    pub fn watch_tables(&self) -> watch::Receiver<Rc<TableSnapshot>> {
        self.tables.subscribe()
    }

    /// Puts new tables in force.
    pub fn swap_tables(&self, next: TableSnapshot) {
        let routes = &next.routes;
        let share = |service: &String| (service.clone(), routes.share(service, next.senders));
        let shares: HashMap<String, ServiceShare> = routes.services.keys().map(share).collect();
        self.dispatcher.borrow_mut().update(&next.endpoints, shares);
        self.tables.send_replace(Rc::new(next));
        self.capacity_freed.notify_waiters();
    }

    /// Reads the seeds from the settings file again; one that can't be read changes nothing.
    pub fn reload_seeds(&self) {
        match Settings::load() {
            Ok(settings) => *self.seeds.borrow_mut() = settings.seeds,
            Err(error) => {
                tracing::warn!(%error, "the settings file can't be read again: its seeds stay as they were")
            }
        }
    }

    /// Counts a request that begins (1) or ends (-1) to wait for room.
    pub fn count_waiting(&self, service: &str, change: i32) {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.entry(service.to_owned()).or_default();
        *count = count.saturating_add_signed(change);
    }

    /// Requests that wait for room, by service.
    pub fn waiting(&self) -> HashMap<String, f64> {
        self.waiting.borrow().iter().map(|(service, count)| (service.clone(), f64::from(*count))).collect()
    }

    /// Counts a request that began to run.
    pub fn count_usage(&self, tenant: &str) {
        let window = (crate::clock::wall_seconds() / self.settings.slo.report_s) as u64;
        let mut usage = self.usage.borrow_mut();
        *usage.entry(window).or_default().entry(tenant.to_owned()).or_default() += 1;
        while usage.len() > USAGE_WINDOWS {
            usage.pop_first();
        }
    }

    /// Counts of the last windows.
    pub fn usage(&self) -> Vec<UsageWindow> {
        let window = |(window, counts): (&u64, &HashMap<String, u64>)| {
            let mut counts: Vec<(String, u64)> =
                counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect();
            counts.sort();
            UsageWindow { window: *window, counts }
        };
        self.usage.borrow().iter().map(window).collect()
    }

    /// Whether the primary answered lately.
    pub fn has_recent_primary(&self) -> bool {
        self.last_answer.get() > 0
            && crate::clock::micros().saturating_sub(self.last_answer.get()) < RECENT_ANSWER
    }

    /// Internal addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<String> {
        let seeds = self.seeds.borrow();
        seeds.iter().map(|peer| self.settings.internal_address_of(peer)).collect()
    }

    /// A process says that it is primary: it is asked next, unless the one that is known answers.
    pub fn note_primary(&self, address: String) {
        if !self.has_recent_primary() {
            *self.known_primary.borrow_mut() = Some(address.clone());
            *self.contact.borrow_mut() = Some(address);
        }
    }

    /// Internal addresses at which polls may be answered: the core's members, then the seeds, then relays.
    pub fn core_addresses(&self) -> Vec<String> {
        let mut addresses: Vec<String> =
            self.tables().placement.core.iter().map(|member| member.internal.clone()).collect();
        let members = self.members.borrow();
        for address in members.iter().cloned().chain(self.seed_addresses()) {
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        let relays = self.relays.borrow();
        addresses.extend(relays.iter().filter(|relay| **relay != self.info.internal).cloned());
        addresses
    }

    /// Address of the operator's interface of the core's primary.
    pub fn primary_admin(&self) -> Option<String> {
        let primary = self.known_primary.borrow().clone()?;
        let tables = self.tables();
        let member = tables.placement.core.iter().find(|member| member.internal == primary)?;
        member.admin.clone()
    }
}
