//! A model endpoint: runs `capacity` requests at once, queues none, and streams as many events as a request's tokens ask for.

use crate::http::{Message, Next, respond, serve};
use crate::record::Record;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes of the data of one event, and tokens in it.
pub const EVENT_BYTES: usize = 800;
pub const EVENT_TOKENS: u64 = 200;

/// Version of the weights at every endpoint.
const WEIGHTS_VERSION: &str = "1";

/// What endpoints saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    pub arrivals: u32,
    pub completed: u32,
    pub tenants: Vec<String>,
    pub targets: Vec<String>,
    /// When it last arrived or ended.
    pub last: Option<Instant>,
}

/// What endpoints saw, by request id.
#[derive(Clone, Default)]
pub struct Seen {
    runs: Arc<Mutex<HashMap<String, Runs>>>,
    /// When an endpoint last began or ended work.
    last_work: Arc<Mutex<Option<Instant>>>,
}

impl Seen {
    pub fn of(&self, id: &str) -> Runs {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// Ids of requests that ran and meet a condition.
    pub fn ids_where(&self, condition: impl Fn(&str, &Runs) -> bool) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|(id, runs)| condition(id, runs))
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub fn idle_for(&self) -> Duration {
        self.last_work.lock().unwrap().map_or(Duration::MAX, |last| last.elapsed())
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Runs)) {
        let now = Instant::now();
        *self.last_work.lock().unwrap() = Some(now);
        let mut all = self.runs.lock().unwrap();
        let runs = all.entry(id.to_owned()).or_default();
        runs.last = Some(now);
        change(runs);
    }
}

/// An endpoint that runs.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: usize,
    /// Set: it has crashed, its port is closed.
    pub is_down: Arc<AtomicBool>,
    /// Set: the platform does not list it.
    pub unlisted: Arc<AtomicBool>,
    /// Time between two events of a stream, microseconds.
    pub event_gap: Arc<AtomicU64>,
    pub active: Arc<AtomicUsize>,
}

impl Endpoint {
    pub fn start(id: &str, service: &str, address: &str, zone: &str, seen: Seen, record: Record) -> std::io::Result<Endpoint> {
        let endpoint = Endpoint {
            id: id.to_owned(),
            service: service.to_owned(),
            address: address.to_owned(),
            zone: zone.to_owned(),
            capacity: 16,
            is_down: Arc::default(),
            unlisted: Arc::default(),
            event_gap: Arc::new(AtomicU64::new(2_000)),
            active: Arc::default(),
        };
        let running = endpoint.clone();
        let handler = move |stream: &TcpStream, request: &Message| running.answer(stream, request, &seen, &record);
        serve(address, endpoint.is_down.clone(), Arc::new(handler))?;
        Ok(endpoint)
    }

    fn answer(&self, stream: &TcpStream, request: &Message, seen: &Seen, record: &Record) -> Next {
        if request.target() == "/healthz" {
            let _ = respond(stream, "200 OK", &format!("Endpoint: {}\r\n", self.id), b"");
            return Next::KeepOpen;
        }
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let own = format!("Request-Id: {id}\r\n");
        if id.is_empty() {
            let _ = respond(stream, "400 Bad Request", "Not-Run: 1\r\n", b"");
            return Next::Close;
        }
        if request.header("Expect-Endpoint").is_some_and(|expected| expected != self.id) {
            let _ = respond(
                stream,
                "421 Misdirected Request",
                &format!("{own}Endpoint: {}\r\n", self.id),
                b"",
            );
            return Next::KeepOpen;
        }
        if request
            .header("Expect-Version")
            .is_some_and(|expected| expected != WEIGHTS_VERSION)
        {
            let _ = respond(
                stream,
                "421 Misdirected Request",
                &format!("{own}Versions: {WEIGHTS_VERSION}\r\n"),
                b"",
            );
            record.add(format!(
                "endpoint {} answers 421 to {id}: its weights have version {WEIGHTS_VERSION}",
                self.id
            ));
            return Next::KeepOpen;
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.capacity {
            self.active.fetch_sub(1, Ordering::SeqCst);
            let _ = respond(stream, "503 Service Unavailable", &format!("{own}Not-Run: 1\r\n"), b"");
            return Next::KeepOpen;
        }
        let tenant = request.header("Tenant").unwrap_or_default().to_owned();
        record.add(format!(
            "endpoint {} runs {} {} id {id} tenant {tenant}",
            self.id,
            request.method(),
            request.target()
        ));
        seen.change(&id, |runs| {
            runs.arrivals += 1;
            runs.tenants.push(tenant.clone());
            runs.targets.push(request.target().to_owned());
        });
        let next = self.run(stream, request, &id);
        self.active.fetch_sub(1, Ordering::SeqCst);
        seen.change(&id, |runs| runs.completed += u32::from(next == Next::KeepOpen));
        next
    }

    /// Answers with what the path's last part asks for: `fails` and `never` are failures, everything else is done.
    fn run(&self, mut stream: &TcpStream, request: &Message, id: &str) -> Next {
        let ending = request.target().rsplit('/').next().unwrap_or_default();
        let own = format!("Request-Id: {id}\r\nSeal: {}.{id}\r\n", self.id);
        let failure = match ending {
            "fails" => Some("500 Internal Server Error"),
            "never" => Some("422 Unprocessable Content"),
            _ => None,
        };
        if let Some(status) = failure {
            std::thread::sleep(Duration::from_millis(20));
            return if respond(stream, status, &own, b"").is_ok() {
                Next::KeepOpen
            } else {
                Next::Close
            };
        }
        let first = request
            .header("Last-Event-Id")
            .and_then(|last| last.parse::<u64>().ok())
            .unwrap_or(0)
            + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}Versions: {WEIGHTS_VERSION}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        std::thread::sleep(Duration::from_millis(20));
        if stream.write_all(head.as_bytes()).is_err() {
            return Next::Close;
        }
        for number in first..=event_count(request.header("Token-Count")) {
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.is_down.load(Ordering::Relaxed) || stream.write_all(chunk.as_bytes()).is_err() {
                return Next::Close;
            }
            std::thread::sleep(Duration::from_micros(self.event_gap.load(Ordering::Relaxed)));
        }
        if stream.write_all(b"0\r\n\r\n").is_ok() {
            Next::KeepOpen
        } else {
            Next::Close
        }
    }
}

/// Number of events of a request with this `Token-Count` (of the prompt, and the most out).
fn event_count(token_count: Option<&str>) -> u64 {
    let out: u64 = token_count
        .and_then(|counts| counts.split(',').nth(1)?.trim().parse().ok())
        .unwrap_or(EVENT_TOKENS);
    out.div_ceil(EVENT_TOKENS).max(1)
}

/// The data of an event, which no other request or event has.
pub fn event_data(id: &str, number: u64) -> String {
    let mut data = format!("{id}.{number}.");
    while data.len() < EVENT_BYTES {
        data.push((b'a' + (data.len() % 26) as u8) as char);
    }
    data
}

/// The complete text of an item with so many tokens out.
pub fn whole_text(id: &str, tokens_out: u64) -> String {
    let events: Vec<String> = (1..=tokens_out.div_ceil(EVENT_TOKENS).max(1))
        .map(|number| event_data(id, number))
        .collect();
    events.join("\n")
}
