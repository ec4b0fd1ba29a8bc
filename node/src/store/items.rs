//! Runs the items of batch jobs in the room that endpoints have.

mod attempt;
mod line;

pub use line::{Runner, places_for};

use super::Store;
use super::reign::{Reign, Tracked};
use crate::clock;
use crate::subscription::Reporter;
use quillmount_dataplane::batch_share::{BatchRoom, BatchShare, SenderItems, batch_part};
use quillmount_dataplane::demand::Demand;
use quillmount_dataplane::dispatch::Placement;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::messages::{Item, ItemResult, Job, Phase, ShardOperation};
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two looks for room.
const LOOK: Duration = Duration::from_millis(25);

/// What is due sooner than this is taken for late, microseconds: about the time that an item takes.
const LATE_MARGIN: u64 = 700_000;

/// An item that is to run, with what earlier runs left.
struct Run {
    reign: Rc<Reign>,
    tracked: Tracked,
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
enum Next {
    /// It is no longer this store's, or no longer wanted.
    Drop,
    DeadLetter,
    Place {
        service: String,
        demand: Demand,
    },
}

impl Run {
    fn is_late(&self) -> bool {
        clock::micros() + LATE_MARGIN > self.due
    }

    fn item(&self) -> &Item {
        &self.job.items[self.item as usize]
    }

    fn next(&self, store: &Store) -> Next {
        if self.tracked.cancel.is_cancelled() || !self.reign.is_serving() {
            return Next::Drop;
        }
        let tables = store.node.tables();
        let Some(route) = tables.routes.by_name(&self.job.route) else { return Next::DeadLetter };
        let age = clock::micros().saturating_sub(self.tracked.seen);
        let retain = route.route.retain_s.map(|span| clock::millis(span * 1000.0).as_micros() as u64);
        if retain.is_some_and(|retain| age > retain) {
            return Next::DeadLetter;
        }
        let header = |name: &str| {
            let headers = &self.item().headers;
            headers
                .iter()
                .find(|(known, _)| known.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.as_str())
        };
        let demand = Demand::parse(header("Token-Count"), header("Prompt-Prefix"));
        let draw = (clock::draw() % 10_000) as f64 / 10_000.0;
        let service = route.service(draw).unwrap_or_default().to_owned();
        Next::Place { service, demand }
    }

    fn tries(&self, store: &Store) -> u32 {
        let tables = store.node.tables();
        tables.routes.by_name(&self.job.route).map_or(1, |route: &Rc<CompiledRoute>| route.tries)
    }

    fn request(&self, placement: &Placement) -> Vec<u8> {
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
        out.push_str(&format!("Expect-Endpoint: {}\r\nTenant: {}\r\n", placement.id, self.job.tenant));
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
        let added = store.runner.added();
        let room = store.node.room.notified();
        start_items(&store);
        let idle = store.runner.is_empty();
        if idle {
            added.await;
        } else {
            tokio::select! {
                () = added => {}
                () = room => {}
                () = tokio::time::sleep(LOOK) => {}
            }
        }
    }
}

/// Starts items, oldest first, until no endpoint has room.
fn start_items(store: &Rc<Store>) {
    loop {
        let Some(run) = store.runner.take() else { return };
        match run.next(store) {
            Next::Drop => {}
            Next::DeadLetter => list(store, run, Phase::DeadLetter, String::new()),
            Next::Place { service, demand } => {
                let now = clock::micros();
                let share = store.runner.share(&service, now, |room| batch_share(store, &service, now, room));
                let mut dispatcher = store.node.dispatcher.borrow_mut();
                let placed = dispatcher.place(&service, &demand, Some(&share), &run.tried, now);
                let placed = match placed {
                    Err(_) if !run.tried.is_empty() => {
                        dispatcher.place(&service, &demand, Some(&share), &[], now)
                    }
                    placed => placed,
                };
                drop(dispatcher);
                match placed {
                    Ok(placement) => {
                        tokio::task::spawn_local(attempt::run(store.clone(), run, placement));
                    }
                    Err(_) => {
                        store.runner.insert(run);
                        return;
                    }
                }
            }
        }
    }
}

/// This store's share of a service's endpoints: by the items that it has beside those of the others, of the room that live
/// requests leave.
fn batch_share(store: &Store, service: &str, now: u64, room: &mut BatchRoom) -> BatchShare {
    let loads = store.node.loads.borrow().clone();
    let load = loads.iter().find(|load| load.service == service);
    let known = load.into_iter().flat_map(|load| &load.items);
    let senders: Vec<SenderItems> =
        known.map(|(sender, items)| SenderItems { sender: *sender, items: *items }).collect();
    // Of its own items the store knows better than the core does; the one that is placed now waits no longer.
    let own = store.needs().items.get(service).copied().unwrap_or_default() + 1;
    let me = SenderItems { sender: store.node.info.disk, items: own };
    let capacity = store.node.dispatcher.borrow().capacity(service);
    let left = load.map(|load| batch_part(load.live_places, capacity));
    BatchShare::new(me, &senders, room.follow(now, left))
}

/// Lists the result of an item.
fn list(store: &Rc<Store>, run: Run, phase: Phase, text: String) {
    let operation = ShardOperation::Append {
        job: run.job.id.clone(),
        result: ItemResult { item: run.item, phase, text },
    };
    // A primary that ends leaves the item to the next one.
    if run.reign.is_serving() {
        let store = store.clone();
        tokio::task::spawn_local(async move {
            let _ = run.reign.shard.commit(&store, operation).await;
        });
    }
}
