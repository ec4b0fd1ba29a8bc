//! Runs the items of batch jobs in the room that endpoints have.

use super::Store;
use super::reign::{Reign, Tracked};
use crate::clock;
use crate::upstream::{BodyPart, UpstreamAnswer, UpstreamError, UpstreamRequest};
use quillmount_dataplane::dispatch::{BatchQuota, CallEnd, Demand, Placement};
use quillmount_dataplane::events::EventReader;
use quillmount_dataplane::routes::CompiledRoute;
use quillmount_wire::messages::{Item, ItemResult, Job, Phase, ShardOperation};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// An endpoint that is silent for so long is left; the item goes on elsewhere.
const PATIENCE: Duration = Duration::from_millis(4000);
/// Longest time between two looks for room.
const LOOK: Duration = Duration::from_millis(25);
/// Pause of an item after a failure.
const PAUSE: Duration = Duration::from_millis(100);
/// Largest text of one item, bytes.
const TEXT_LIMIT: usize = 4 << 20;
/// Largest answer that is not a stream, bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// Due time of a route that states none, ms.
const DEFAULT_DUE_MS: f64 = 60_000.0;
/// What is due sooner than this is taken for late, microseconds: about the time that an item takes.
const LATE_MARGIN: u64 = 700_000;

/// Time in which waiting items are to be done, and the time that one takes, seconds: inputs of the endpoint count.
const BACKLOG_S: f64 = 12.0;
const ITEM_S: f64 = 1.0;

/// Place in the line: what can still be in time, by due time; then what is late, by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    late: bool,
    due: u64,
    number: u64,
}

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

/// Items that wait for room.
#[derive(Default)]
pub struct Runner {
    queue: RefCell<BTreeMap<Place, Run>>,
    numbers: Cell<u64>,
    added: Notify,
}

impl Runner {
    /// Takes all unlisted items of a shard whose primary begins to serve.
    pub fn add_shard(&self, store: &Store, reign: &Rc<Reign>) {
        let jobs: Vec<String> = reign.shard.replica().jobs().jobs.keys().cloned().collect();
        jobs.iter().for_each(|job| self.add_job(store, reign, job));
    }

    /// Takes the unlisted items of a job.
    pub fn add_job(&self, store: &Store, reign: &Rc<Reign>, job: &str) {
        let tables = store.node.tables();
        let replica = reign.shard.replica();
        let Some(entry) = replica.jobs().jobs.get(job).filter(|entry| !entry.ended) else { return };
        let tracked = reign.track(job);
        let route = tables.routes.by_name(&entry.job.route);
        let due_ms = route.and_then(|route| route.route.due_ms).unwrap_or(DEFAULT_DUE_MS);
        let due = tracked.seen + clock::millis(due_ms).as_micros() as u64;
        for item in (0..entry.job.items.len() as u32).filter(|item| !entry.is_listed(*item)) {
            self.put(Run {
                reign: reign.clone(),
                tracked: tracked.clone(),
                job: entry.job.clone(),
                item,
                text: Vec::new(),
                last_event: None,
                failures: 0,
                tried: Vec::new(),
                due,
            });
        }
    }

    /// Places needed for the items that wait, if they are to be done within [`BACKLOG_S`].
    pub fn demand(&self, store: &Store) -> HashMap<String, f64> {
        let tables = store.node.tables();
        let mut demand: HashMap<String, f64> = HashMap::new();
        for run in self.queue.borrow().values() {
            let route = tables.routes.by_name(&run.job.route);
            if let Some(service) = route.and_then(|route| route.service(0.0)) {
                *demand.entry(service.to_owned()).or_default() += ITEM_S / BACKLOG_S;
            }
        }
        demand
    }

    fn put(&self, run: Run) {
        self.insert(run);
        self.added.notify_one();
    }

    fn insert(&self, run: Run) {
        self.numbers.set(self.numbers.get() + 1);
        let place = Place { late: run.is_late(), due: run.due, number: self.numbers.get() };
        self.queue.borrow_mut().insert(place, run);
    }

    /// The next item; one that has become late in the line goes behind those that can be in time.
    fn take(&self) -> Option<Run> {
        loop {
            let (place, run) = self.queue.borrow_mut().pop_first()?;
            if place.late == run.is_late() {
                return Some(run);
            }
            self.insert(run);
        }
    }
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
        let added = store.runner.added.notified();
        let room = store.node.room.notified();
        start_items(&store);
        let idle = store.runner.queue.borrow().is_empty();
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
    let quota = quota(store);
    loop {
        let Some(run) = store.runner.take() else { return };
        match run.next(store) {
            Next::Drop => {}
            Next::DeadLetter => list(store, run, Phase::DeadLetter, String::new()),
            Next::Place { service, demand } => {
                let now = clock::micros();
                let mut dispatcher = store.node.dispatcher.borrow_mut();
                let placed = dispatcher.place(&service, &demand, Some(&quota), &run.tried, now);
                let placed = match placed {
                    Err(_) if !run.tried.is_empty() => {
                        dispatcher.place(&service, &demand, Some(&quota), &[], now)
                    }
                    placed => placed,
                };
                drop(dispatcher);
                match placed {
                    Ok(placement) => {
                        tokio::task::spawn_local(attempt(store.clone(), run, placement));
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

/// This store's part of the endpoints: as large as that of any other store that leads shards.
fn quota(store: &Store) -> BatchQuota {
    let tables = store.node.tables();
    let leaders: BTreeSet<u64> = tables.placement.shards.iter().map(|view| view.primary).collect();
    BatchQuota { me: store.node.info.disk, senders: leaders.into_iter().collect() }
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

/// How a run at one endpoint ended.
enum Ended {
    Whole,
    /// The endpoint can never do it.
    Impossible,
    Failed,
    /// To be tried again, or gone on with, elsewhere.
    Again(CallEnd),
    Cancelled,
}

async fn attempt(store: Rc<Store>, mut run: Run, placement: Placement) {
    let sent = clock::micros();
    let mut first = None;
    let resumed = run.last_event.is_some();
    let cancel = run.tracked.cancel.clone();
    let ended = tokio::select! {
        ended = exchange(&store, &mut run, &placement, sent, &mut first) => ended,
        () = cancel.cancelled() => Ended::Cancelled,
    };
    let end = match (&ended, first) {
        (Ended::Again(end), _) => *end,
        (Ended::Failed, _) => CallEnd::Error,
        (Ended::Whole | Ended::Cancelled, Some(_)) if resumed => CallEnd::Resumed,
        (Ended::Whole | Ended::Cancelled, Some(latency)) => CallEnd::FirstEvent(latency),
        _ => CallEnd::Abandoned,
    };
    store.node.dispatcher.borrow_mut().finish(&placement, end, first.is_some(), clock::micros());
    store.node.room.notify_waiters();
    match ended {
        Ended::Whole => {
            let text = run.text.join("\n");
            list(&store, run, Phase::Done, text);
        }
        Ended::Impossible => list(&store, run, Phase::DeadLetter, String::new()),
        Ended::Cancelled => {}
        Ended::Failed => {
            run.failures += 1;
            if run.failures >= run.tries(&store) {
                return list(&store, run, Phase::DeadLetter, String::new());
            }
            put_back(store, run, placement, true).await;
        }
        Ended::Again(_) => put_back(store, run, placement, first.is_none()).await,
    }
}

async fn put_back(store: Rc<Store>, mut run: Run, placement: Placement, fruitless: bool) {
    if fruitless {
        run.tried.push(placement.id);
        tokio::time::sleep(PAUSE).await;
    } else {
        run.tried.clear();
    }
    store.runner.put(run);
}

async fn exchange(
    store: &Rc<Store>,
    run: &mut Run,
    placement: &Placement,
    sent: u64,
    first: &mut Option<u64>,
) -> Ended {
    let bytes = run.request(placement);
    let id = run.item().id.clone();
    let request = UpstreamRequest {
        endpoint: &placement.id,
        address: &placement.address,
        request_id: &id,
        bytes: &bytes,
    };
    let mut answer = match store.node.upstreams.send(request, PATIENCE).await {
        Ok(answer) => answer,
        Err(UpstreamError::Silent) => {
            return Ended::Again(CallEnd::TimedOut(clock::micros().saturating_sub(sent)));
        }
        Err(_) => return Ended::Again(CallEnd::Lost),
    };
    let head = &answer.head;
    let stream = head.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    if head.status == 200 && stream {
        let ended = read_events(store, run, placement, &mut answer, sent, first).await;
        if matches!(ended, Ended::Whole) {
            answer.release(&store.node.upstreams);
        }
        return ended;
    }
    let (status, not_run) = (head.status, head.headers.get("Not-Run").is_some());
    let whole = tokio::time::timeout(PATIENCE, answer.read_all(ANSWER_LIMIT)).await;
    if !matches!(whole, Ok(Some(_))) {
        return Ended::Again(CallEnd::Lost);
    }
    answer.release(&store.node.upstreams);
    match status {
        421 => Ended::Again(CallEnd::Replaced),
        _ if not_run => Ended::Again(CallEnd::Refused),
        422 => Ended::Impossible,
        500 => Ended::Failed,
        _ => Ended::Again(CallEnd::Error),
    }
}

async fn read_events(
    store: &Rc<Store>,
    run: &mut Run,
    placement: &Placement,
    answer: &mut UpstreamAnswer,
    sent: u64,
    first: &mut Option<u64>,
) -> Ended {
    let mut events = EventReader::default();
    loop {
        let mut bytes = Vec::new();
        let Ok(part) = tokio::time::timeout(PATIENCE, answer.read(&mut bytes)).await else {
            return Ended::Again(CallEnd::TimedOut(clock::micros().saturating_sub(sent)));
        };
        events.add(&bytes);
        loop {
            let event = match events.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => return Ended::Again(CallEnd::Error),
            };
            if first.is_none() {
                *first = Some(clock::micros().saturating_sub(sent));
                store.node.dispatcher.borrow_mut().first_event(placement);
                store.node.room.notify_waiters();
            }
            // Without its number an event can't be placed, and one out of its turn belongs to another run.
            let expected = run.last_event.map(|last| last + 1);
            if event.id.is_none() || expected.is_some_and(|expected| event.id != Some(expected)) {
                return Ended::Again(CallEnd::Error);
            }
            run.last_event = event.id;
            run.text.push(event.data.unwrap_or_default());
        }
        if run.text.iter().map(String::len).sum::<usize>() > TEXT_LIMIT {
            // No endpoint's whole answer is this long: from the start again, until the job gives it up.
            run.text.clear();
            run.last_event = None;
            return Ended::Again(CallEnd::Error);
        }
        match part {
            BodyPart::More => {}
            BodyPart::End if events.remainder() == 0 => return Ended::Whole,
            _ => return Ended::Again(CallEnd::Lost),
        }
    }
}
