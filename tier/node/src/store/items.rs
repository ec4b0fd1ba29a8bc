//! Runs the items of batch jobs in the room that endpoints have.

mod attempt;
mod queue;

pub use queue::{ItemQueue, demand_of_backlog};

use super::Store;
use super::term::{PrimaryTerm, TrackedJob};
use crate::clock;
use crate::subscription::Reporter;
use quillmount_dataplane::batch_share::{BatchCapacity, BatchShare, SenderItems, batch_fraction};
use quillmount_dataplane::dispatch::Reservation;
use quillmount_dataplane::request_profile::RequestProfile;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::messages::{Item, ItemResult, Job, Phase, ShardOperation};
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two looks for room.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What is due sooner than this is taken for late, microseconds: about the time that an item takes.
const LATE_MARGIN: u64 = 700_000;

/// An item that is to run, with what earlier runs left.
struct ItemRun {
    term: Rc<PrimaryTerm>,
    tracked: TrackedJob,
    job: Rc<Job>,
    item: u32,
    /// Data of the events so far.
    text: Vec<String>,
    last_event: Option<u64>,
    /// Answers of 500.
    failures: u32,
    /// Endpoints tried since the last progress.
    tried: Vec<String>,
    /// When its result is due, steady clock.
    due: u64,
}

/// What is to become of an item before it runs.
enum NextStep {
    /// It is no longer this store's, or no longer wanted.
    Drop,
    DeadLetter,
    Reserve {
        service: String,
        profile: RequestProfile,
    },
}

impl ItemRun {
    fn is_late(&self) -> bool {
        clock::micros() + LATE_MARGIN > self.due
    }

    fn item(&self) -> &Item {
        &self.job.items[self.item as usize]
    }

    fn next(&self, store: &Store) -> NextStep {
        if self.tracked.cancel.is_cancelled() || !self.term.is_serving() {
            return NextStep::Drop;
        }
        let tables = store.node.tables();
        let Some(route) = tables.routes.by_name(&self.job.route) else { return NextStep::DeadLetter };
        let age = clock::micros().saturating_sub(self.tracked.first_seen);
        let retain = route.route.retain_s.map(|span| clock::millis(span * 1000.0).as_micros() as u64);
        if retain.is_some_and(|retain| age > retain) {
            return NextStep::DeadLetter;
        }
        let header = |name: &str| {
            let headers = &self.item().headers;
            headers
                .iter()
                .find(|(known, _)| known.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.as_str())
        };
        let profile = RequestProfile::parse(header("Token-Count"), header("Prompt-Prefix"));
        let draw = (clock::random_id() % 10_000) as f64 / 10_000.0;
        let service = route.pick_service(draw).unwrap_or_default().to_owned();
        NextStep::Reserve { service, profile }
    }

    fn max_attempts(&self, store: &Store) -> u32 {
        let tables = store.node.tables();
        tables.routes.by_name(&self.job.route).map_or(1, |route: &Rc<CompiledRoute>| route.max_attempts)
    }

    fn request(&self, reservation: &Reservation) -> Vec<u8> {
        let item = self.item();
        let mut out =
            format!("POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\n", item.path, self.job.host, item.id);
        for (name, value) in &item.headers {
            let own = ["host", "request-id", "tenant", "content-length", "connection", "transfer-encoding"];
            let valid =
                !name.is_empty() && !name.contains([':', '\r', '\n', ' ']) && !value.contains(['\r', '\n']);
            if valid && !own.iter().any(|own| name.eq_ignore_ascii_case(own)) {
                out.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        out.push_str(&format!("Expect-Endpoint: {}\r\nTenant: {}\r\n", reservation.id, self.job.tenant));
        if let Some(last) = self.last_event {
            out.push_str(&format!("Last-Event-Id: {last}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", item.body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&item.body);
        bytes
    }
}

/// Starts items for as long as the process lives.
pub async fn run(store: Rc<Store>) {
    loop {
        let added = store.item_queue.added();
        let capacity_freed = store.node.capacity_freed.notified();
        start_items(&store);
        let idle = store.item_queue.is_empty();
        if idle {
            added.await;
        } else {
            tokio::select! {
                () = added => {}
                () = capacity_freed => {}
                () = tokio::time::sleep(CAPACITY_CHECK_INTERVAL) => {}
            }
        }
    }
}

/// Starts items, oldest first, until no endpoint has room.
fn start_items(store: &Rc<Store>) {
    loop {
        let Some(run) = store.item_queue.pop() else { return };
        match run.next(store) {
            NextStep::Drop => {}
            NextStep::DeadLetter => append_result(store, run, Phase::DeadLetter, String::new()),
            NextStep::Reserve { service, profile } => {
                let now = clock::micros();
                let share = store
                    .item_queue
                    .share(&service, now, |batch_capacity| batch_share(store, &service, now, batch_capacity));
                let mut dispatcher = store.node.dispatcher.borrow_mut();
                let reserved = dispatcher.reserve(&service, &profile, Some(&share), &run.tried, now);
                let reserved = match reserved {
                    Err(_) if !run.tried.is_empty() => {
                        dispatcher.reserve(&service, &profile, Some(&share), &[], now)
                    }
                    reserved => reserved,
                };
                drop(dispatcher);
                match reserved {
                    Ok(reservation) => {
                        tokio::task::spawn_local(attempt::run(store.clone(), run, reservation));
                    }
                    Err(_) => {
                        store.item_queue.insert(run);
                        return;
                    }
                }
            }
        }
    }
}

/// This store's share of a service's endpoints: by the items that it has beside those of the others, of the room that live
/// requests leave.
fn batch_share(store: &Store, service: &str, now: u64, batch_capacity: &mut BatchCapacity) -> BatchShare {
    let loads = store.node.loads.borrow().clone();
    let load = loads.iter().find(|load| load.service == service);
    let known = load.into_iter().flat_map(|load| &load.items);
    let senders: Vec<SenderItems> =
        known.map(|(sender, items)| SenderItems { sender: *sender, items: *items }).collect();
    // Of its own items the store knows better than the core does; the one that is placed now waits no longer.
    let own = store.needs().items.get(service).copied().unwrap_or_default() + 1;
    let me = SenderItems { sender: store.node.info.disk, items: own };
    let capacity = store.node.dispatcher.borrow().capacity(service);
    let left = load.map(|load| batch_fraction(load.live_demand, capacity));
    BatchShare::new(me, &senders, batch_capacity.update(now, left))
}

/// Lists the result of an item.
fn append_result(store: &Rc<Store>, run: ItemRun, phase: Phase, text: String) {
    let operation = ShardOperation::Append {
        job: run.job.id.clone(),
        result: ItemResult { item: run.item, phase, text },
    };
    // A primary that ends leaves the item to the next one.
    if run.term.is_serving() {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            let _ = run.term.shard.commit(&store, operation).await;
        });
    }
}
