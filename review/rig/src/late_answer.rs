//! Requests that may run at most once, at endpoints that are often full, while one endpoint sends some of its answers a second time, late.

use crate::Verdict;
use crate::http::{self, Client, answer, read_message};
use crate::record::Record;
use crate::tier::{KEY, Tier, serve_platform};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Endpoints of the service, as in a deployment that has just begun.
const ENDPOINTS: usize = 2;
/// Requests that an endpoint works on at once, and those that wait there.
const CAPACITY: usize = 4;
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(20);
/// Clients of each courier: a hash of the client chooses the courier, so the shares are not even.
const CLIENTS: [usize; 9] = [16, 2, 2, 2, 2, 2, 2, 2, 2];
/// Longest interval of a client between two requests.
const INTERVAL_MS: u64 = 60;
/// The site's figures: `garble`, how "extra late", share 0.6 of the endpoints, 0.03 of their answers, for 5 s.
const GARBLED_SHARE: f64 = 0.6;
const GARBLED_PER_THOUSAND: u64 = 30;
const FAULT_TIME: Duration = Duration::from_secs(5);
/// How often the fault comes, and the time of load before, between and after.
const FAULTS: usize = 10;
const CALM: Duration = Duration::from_millis(1500);

/// What endpoints and clients saw of each request, by its id.
#[derive(Default)]
struct History {
    runs: BTreeMap<String, Vec<usize>>,
    answers: BTreeMap<String, Option<u16>>,
}

struct Endpoint {
    number: usize,
    load: Mutex<Load>,
    freed: Condvar,
    history: Arc<Mutex<History>>,
    /// Whether it sends some answers a second time now.
    is_garbling: AtomicBool,
    random: AtomicU64,
    rejections: AtomicU64,
    late_answers: AtomicU64,
    record: Record,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub fn play(folder: &Path, has_fault: bool, record: &Record) -> Verdict {
    let mut tier = Tier::new(folder, record);
    serve_platform(&tier, ENDPOINTS, CAPACITY);
    let history = Arc::new(Mutex::new(History::default()));
    let endpoints: Vec<Arc<Endpoint>> =
        (0..ENDPOINTS).map(|number| serve_endpoint(&tier, number, &history, record)).collect();
    tier.start(CLIENTS.len());
    let taken = tier.order("POST", "/-/config/put", 0, CONFIGURATION, Duration::from_secs(20));
    if taken.map(|answer| answer.status()) != Some(200) {
        record.print("the configuration was not taken");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let couriers =
        CLIENTS.iter().enumerate().flat_map(|(courier, count)| std::iter::repeat_n(courier, *count));
    let clients: Vec<_> = couriers
        .enumerate()
        .map(|(client, courier)| {
            let (address, history, stop, record) =
                (tier.client_address(courier), history.clone(), stop.clone(), record.clone());
            std::thread::spawn(move || send_requests(client, &address, &history, &stop, &record))
        })
        .collect();
    let garbled = if has_fault { (ENDPOINTS as f64 * GARBLED_SHARE) as usize } else { 0 };
    std::thread::sleep(CALM);
    for _ in 0..FAULTS {
        record.print(&format!("late second answers at {garbled} of {ENDPOINTS} endpoints"));
        endpoints
            .iter()
            .take(garbled)
            .for_each(|endpoint| endpoint.is_garbling.store(true, Ordering::SeqCst));
        std::thread::sleep(FAULT_TIME);
        endpoints.iter().for_each(|endpoint| endpoint.is_garbling.store(false, Ordering::SeqCst));
        record.add("no more late second answers");
        std::thread::sleep(CALM);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(300));
    judge(&history.lock().unwrap(), &endpoints, record)
}

fn judge(history: &History, endpoints: &[Arc<Endpoint>], record: &Record) -> Verdict {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for status in history.answers.values() {
        *counts.entry(status.map_or("no answer".to_owned(), |status| status.to_string())).or_default() += 1;
    }
    record.print(&format!("{} requests, answers: {counts:?}", history.answers.len()));
    for endpoint in endpoints {
        let rejections = endpoint.rejections.load(Ordering::SeqCst);
        let late = endpoint.late_answers.load(Ordering::SeqCst);
        record.print(&format!(
            "i-{}: {rejections} requests rejected with Not-Run, {late} answers sent twice",
            endpoint.number
        ));
    }
    let mut twice = 0;
    let mut refused = 0;
    for (id, runs) in &history.runs {
        let status = history.answers.get(id).copied().flatten();
        if runs.len() > 1 {
            twice += 1;
            record.add(&format!("TWICE: {id} ran at endpoints {runs:?}, its client got {status:?}"));
        }
        if matches!(status, Some(408 | 421 | 429 | 503)) {
            refused += 1;
            record.add(&format!("REFUSED: {id} ran at endpoints {runs:?}, its client got {status:?}"));
        }
    }
    record.print(&format!("{twice} requests ran more than once, {refused} ran although they got a 503"));
    if history.runs.is_empty()
        || endpoints.iter().all(|endpoint| endpoint.rejections.load(Ordering::SeqCst) == 0)
    {
        return Verdict::NotRun;
    }
    if twice + refused > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends one request after the other on a kept connection; after a 503 it waits as long as `Retry-After` says.
fn send_requests(client: usize, address: &str, history: &Mutex<History>, stop: &AtomicBool, record: &Record) {
    let mut connection = None;
    let mut random = next_random(client as u64 + u64::from(std::process::id()));
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{client:04x}{number:012x}");
        let headers = format!(
            "Host: ficu95.example\r\nRequest-Id: {id}\r\nDeadline: 4000\r\nAuthorization: Token {KEY}\r\n\
             Model: m\r\nToken-Count: 540,80\r\nPrompt-Prefix: 5c1e07a2:300,{id}:240\r\n"
        );
        let answer = connection.take().or_else(|| Client::connect(address, Duration::from_secs(5))).and_then(
            |mut open| open.send("POST", "/pufi791/2f", &headers, b"prompt").map(|answer| (open, answer)),
        );
        let status = answer.as_ref().map(|(_, answer)| answer.status());
        record.add(&format!("client {client}: {id} answered {status:?}"));
        history.lock().unwrap().answers.insert(id, status);
        if let Some((open, answer)) = answer {
            let wait = answer.header("Retry-After").and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
            if answer.header("Connection") != Some("close") {
                connection = Some(open);
            }
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
        random = next_random(random);
        std::thread::sleep(Duration::from_micros((random >> 33) % (INTERVAL_MS * 1000)));
    }
}

fn next_random(random: u64) -> u64 {
    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407)
}

fn serve_endpoint(
    tier: &Tier,
    number: usize,
    history: &Arc<Mutex<History>>,
    record: &Record,
) -> Arc<Endpoint> {
    let seed = u64::from(std::process::id()) * 1000 + number as u64;
    let endpoint = Arc::new(Endpoint {
        number,
        load: Mutex::default(),
        freed: Condvar::new(),
        history: history.clone(),
        is_garbling: AtomicBool::new(false),
        random: AtomicU64::new(seed),
        rejections: AtomicU64::new(0),
        late_answers: AtomicU64::new(0),
        record: record.clone(),
    });
    let served = endpoint.clone();
    http::serve(&tier.endpoint(number), move |stream| served.serve(stream));
    endpoint
}

impl Endpoint {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut late_answer: Option<(String, Vec<u8>)> = None;
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("Request-Id").unwrap_or_default().to_owned();
            if let Some((earlier, bytes)) = late_answer.take() {
                // One answer more than expected, in the spot where the next answer is due.
                self.late_answers.fetch_add(1, Ordering::SeqCst);
                self.record.add(&format!(
                    "i-{}: the answer to {earlier} is sent once more, {id} has come",
                    self.number
                ));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let own = format!("i-{}", self.number);
            let bytes = if request.target().starts_with("/healthz") {
                answer("200 OK", &format!("Endpoint: {own}\r\n"), "")
            } else if request.header("Expect-Endpoint").is_some_and(|expected| expected != own) {
                answer("421 Misdirected Request", &format!("Request-Id: {id}\r\n"), "")
            } else {
                self.answer(&id)
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
            if self.is_garbling.load(Ordering::SeqCst) && self.draw() < GARBLED_PER_THOUSAND {
                late_answer = Some((id, bytes));
            }
        }
    }

    /// Runs a request, or rejects it if the endpoint is full.
    fn answer(&self, id: &str) -> Vec<u8> {
        let headers = format!("Request-Id: {id}\r\nSeal: {}.{id}\r\n", self.number);
        if !self.begin() {
            self.rejections.fetch_add(1, Ordering::SeqCst);
            self.record.add(&format!("i-{}: {id} rejected, not run", self.number));
            return answer("503 Service Unavailable", &format!("{headers}Not-Run: 1\r\n"), "full");
        }
        self.record.add(&format!("i-{}: {id} runs", self.number));
        self.history.lock().unwrap().runs.entry(id.to_owned()).or_default().push(self.number);
        std::thread::sleep(WORK);
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        answer("200 OK", &headers, id)
    }

    /// Waits for one of the places; returns false if the queue is full.
    fn begin(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= CAPACITY && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        let until = Instant::now() + Duration::from_secs(4);
        while load.running >= CAPACITY && Instant::now() < until {
            load = self.freed.wait_timeout(load, Duration::from_millis(100)).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    /// A random number below 1000.
    fn draw(&self) -> u64 {
        let next = |random| Some(next_random(random));
        let random = self.random.fetch_update(Ordering::SeqCst, Ordering::SeqCst, next).unwrap();
        (random >> 33) % 1000
    }
}

const CONFIGURATION: &str = include_str!("late_answer.json");
