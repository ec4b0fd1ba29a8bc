//! A process of the serving tier: what all its parts share.
//!
//! [`Node`] composes the settings, the tables in force, connections to other processes and to endpoints, and the
//! dispatcher that picks endpoints. A role (courier or store) makes one at its start and hands it to each of its tasks,
//! which all run on one thread.

mod usage;

use crate::clock;
use crate::metrics::Metrics;
use crate::rpc::PeerLinks;
use crate::upstream::Upstreams;
use quillmount_control::subscription::core_addresses;
use quillmount_control::{CoreContact, TimeLimits};
use quillmount_dataplane::dispatch::{Dispatcher, ServiceShare};
use quillmount_dataplane::routes::ServiceDraws;
use quillmount_dataplane::tables::TableSnapshot;
use quillmount_window::Parameters;
use quillmount_wire::Micros;
use quillmount_wire::messages::{NodeInfo, ServiceLoad, UsageWindow};
use quillmount_wire::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use usage::UsageCounts;

/// Parameters of the windows that bound the calls at each endpoint. Where many processes share an endpoint, each has one
/// to four calls there: with the growth of one call and three times the baseline that the published method proposes, a
/// single slow answer closes such a window, and requests go to worse endpoints (`docs/worth.md`, rounds).
const WINDOW: Parameters = Parameters { alpha: 0.7, gamma: 0.5, beta: 3.0, threshold_multiple: 5.0 };

/// A process of the serving tier.
pub struct Node {
    /// The settings file, as it was read at the start.
    pub settings: Settings,
    /// How long it waits, and for how long it trusts what it knows.
    pub limits: TimeLimits,
    /// What it counts for operators.
    pub metrics: Metrics,
    /// Identity, addresses and role of this process.
    pub info: NodeInfo,
    /// Identifier of this run of the process, drawn at each start.
    pub incarnation: u64,
    /// Connections to other processes of the tier.
    pub links: PeerLinks,
    /// Connections to endpoints.
    pub upstreams: Upstreams,
    /// Picks endpoints and bounds the calls at each.
    pub dispatcher: RefCell<Dispatcher>,
    /// Notified when an endpoint may have capacity again.
    pub capacity_freed: Notify,
    /// Whether the process was asked to stop and drains.
    pub stopping: Cell<bool>,
    /// Notified when a report to the core can't wait for the next poll.
    pub report_due: Notify,
    /// Draws for the choice of a service.
    pub service_draws: RefCell<ServiceDraws>,
    /// Where the core answers.
    pub core_contact: RefCell<CoreContact>,
    /// Whether the next poll asks for whole tables: a difference did not fit.
    pub whole_tables_wanted: Cell<bool>,
    /// Demand on each service, as the primary last reported it; stores only.
    pub loads: RefCell<Rc<Vec<ServiceLoad>>>,
    /// Start of the process.
    started: Micros,
    /// `Admin` addresses of the seeds, as the settings file names them now.
    seeds: RefCell<Vec<String>>,
    tables: watch::Sender<Rc<TableSnapshot>>,
    usage: RefCell<UsageCounts>,
    /// Number of requests that wait for capacity, by service.
    waiting: RefCell<HashMap<String, u32>>,
}

impl Node {
    /// Makes the shared state of a process that starts now.
    pub fn new(settings: Settings, info: NodeInfo) -> Rc<Node> {
        let incarnation = clock::random_id();
        let limits = TimeLimits::new(&settings.slo);
        let dispatcher = Dispatcher::new(incarnation, &settings.zone, WINDOW);
        Rc::new(Node {
            seeds: RefCell::new(settings.seeds.clone()),
            limits,
            metrics: Metrics::new(),
            settings,
            info,
            incarnation,
            started: clock::now(),
            links: PeerLinks::default(),
            upstreams: Upstreams::default(),
            dispatcher: RefCell::new(dispatcher),
            capacity_freed: Notify::new(),
            stopping: Cell::new(false),
            report_due: Notify::new(),
            service_draws: RefCell::new(ServiceDraws::with_offset(clock::random_fraction())),
            core_contact: RefCell::new(CoreContact::new(limits.recent_answer)),
            whole_tables_wanted: Cell::new(false),
            loads: RefCell::default(),
            tables: watch::Sender::new(Rc::default()),
            usage: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Whether requests may be refused by the configuration in force ([`TimeLimits::may_refuse`]).
    pub fn may_refuse(&self) -> bool {
        self.limits.may_refuse(self.core_contact.borrow().configuration_age(clock::now()))
    }

    /// Whether the configuration in force is at least as new as each one that was in force at any process at `time`.
    pub fn has_configurations_of(&self, time: Micros) -> bool {
        self.core_contact.borrow().has_configurations_of(time)
    }

    /// Time since the primary of the core last answered, or since the start of the clock.
    pub fn core_silence(&self) -> Micros {
        self.core_contact.borrow().silence(clock::now())
    }

    /// Whether it accepts requests: it has a configuration and does not stop.
    pub fn is_ready(&self) -> bool {
        self.tables().versions.configuration > 0 && !self.stopping.get()
    }

    /// Seconds since the process began.
    pub fn uptime_s(&self) -> f64 {
        clock::now().saturating_sub(self.started) as f64 / 1e6
    }

    /// The tables in force.
    pub fn tables(&self) -> Rc<TableSnapshot> {
        self.tables.borrow().clone()
    }

    /// Subscribes to the tables: the receiver sees each new snapshot.
    pub fn watch_tables(&self) -> watch::Receiver<Rc<TableSnapshot>> {
        self.tables.subscribe()
    }

    /// Puts new tables in force, and with them the endpoints and quota shares of the dispatcher.
    pub fn swap_tables(&self, next: TableSnapshot) {
        let routes = &next.routes;
        let share = |service: &String| (service.clone(), routes.share(service, next.senders));
        let shares: HashMap<String, ServiceShare> = routes.services.keys().map(share).collect();
        self.dispatcher.borrow_mut().update(&next.endpoints, shares);
        self.tables.send_replace(Rc::new(next));
        self.capacity_freed.notify_waiters();
    }

    /// Closes idle connections to endpoints that expired, and those to endpoints that take no more requests.
    pub fn close_expired_connections(&self) {
        let dispatcher = self.dispatcher.borrow();
        self.upstreams.close_expired(|endpoint| dispatcher.is_open(endpoint));
    }

    /// Reads the seeds from the settings file again. If the file can't be read, the seeds stay as they are.
    pub fn reload_seeds(&self) {
        match Settings::load() {
            Ok(settings) => *self.seeds.borrow_mut() = settings.seeds,
            Err(error) => {
                tracing::warn!(%error, "failed to reload the settings file, seeds stay as they were");
            }
        }
    }

    /// Internal addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<String> {
        let seeds = self.seeds.borrow();
        seeds.iter().map(|seed| self.settings.internal_address_of(seed)).collect()
    }

    /// Counts a request that begins (1) or ends (-1) to wait for capacity.
    pub fn count_waiting(&self, service: &str, change: i32) {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.entry(service.to_owned()).or_default();
        *count = count.saturating_add_signed(change);
    }

    /// Number of requests that wait for capacity, by service.
    pub fn waiting_requests(&self) -> HashMap<String, u32> {
        self.waiting.borrow().clone()
    }

    /// The same as a demand on endpoints.
    pub fn waiting(&self) -> HashMap<String, f64> {
        self.waiting.borrow().iter().map(|(service, count)| (service.clone(), f64::from(*count))).collect()
    }

    /// Counts a request that began to run in the present usage window.
    pub fn count_usage(&self, tenant: &str) {
        let window = (clock::wall_seconds() / self.settings.slo.report_s) as u64;
        self.usage.borrow_mut().record(window, tenant);
    }

    /// Counts of the last usage windows, oldest first.
    pub fn usage(&self) -> Vec<UsageWindow> {
        self.usage.borrow().report()
    }

    /// Internal addresses at which polls may be answered.
    pub fn core_addresses(&self) -> Vec<String> {
        let tables = self.tables();
        let members = tables.placement.core.iter().map(|member| member.internal.clone());
        core_addresses(&self.core_contact.borrow(), members, self.seed_addresses(), &self.info.internal)
    }

    /// Address of the operator's interface at the core's primary, if that member is in the placement.
    pub fn primary_admin(&self) -> Option<String> {
        let contact = self.core_contact.borrow();
        let primary = contact.primary()?;
        let tables = self.tables();
        let member = tables.placement.core.iter().find(|member| member.internal == primary)?;
        member.admin.clone()
    }
}
