//! A small tier on loopback: processes of the roles, a stand-in platform and a stand-in endpoint.

use crate::late_copies::{FirstAnswer, LateCopies, Served};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_quillmount-node");
/// Machines of a test have loopback addresses of their own, and the same ports.
const HTTP: u16 = 28689;
const READY: u16 = 28687;
const ADMIN: u16 = 28683;
const INTERNAL: u16 = 27360;
const PLATFORM: u16 = 28688;
const METRICS: u16 = 28690;
const ENDPOINT: u16 = 28080;

/// Endpoints of a tier.
pub const ENDPOINTS: usize = 2;
/// Couriers with a disk; further ones have none.
pub const CORE: usize = 3;
/// A path's last word that asks for an answer of its own: `own-` and the ms that it takes.
const OWN: &str = "own-";
/// Tiers that one process starts: each has addresses of its own.
const TIERS: u32 = 32;

/// An answer read to its end, chunks taken apart.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// The first value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    let line = head
        .lines()
        .find(|line| line.to_ascii_lowercase().starts_with(&format!("{}:", name.to_ascii_lowercase())));
    line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned())
}

/// Sends bytes and reads the answer until the connection ends.
pub fn http(address: &str, request: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked = header(head, "Transfer-Encoding").is_some();
    let body = if chunked { unchunk(body)? } else { body.to_owned() };
    Some(Answer { status, head: head.to_owned(), body })
}

pub fn unchunk(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}

/// A request that a stand-in has read.
struct ReceivedRequest {
    target: String,
    head: String,
}

fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let target = head.split(' ').nth(1)?.to_owned();
    Some(ReceivedRequest { target, head })
}

fn answer_with(mut stream: &TcpStream, status: &str, headers: &str, body: &str) {
    let answer = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes());
}

/// Serves connections; `answer` says whether the connection goes on.
fn serve(address: String, answer: impl Fn(&TcpStream, &ReceivedRequest) -> bool + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                while let Some(received) = read_request(&stream) {
                    if !answer(&stream, &received) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

/// The endpoint's events from the one after `last` on; breaks off after the first where `breaks`.
fn stream_events(mut stream: &TcpStream, received: &ReceivedRequest, breaks: bool) {
    let tenant = header(&received.head, "Tenant").unwrap_or_default();
    let last: usize = header(&received.head, "Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let id = header(&received.head, "Request-Id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nSeal: seal-1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    for (number, data) in [tenant.as_str(), "two", "three"].iter().enumerate().skip(last) {
        let event = format!("id: {}\ndata: {data}\n\n", number + 1);
        let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        if breaks {
            return;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
}

/// One write with the first event and the third, which does not follow it.
fn skip_an_event(mut stream: &TcpStream, received: &ReceivedRequest, id: &str) {
    let tenant = header(&received.head, "Tenant").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nSeal: seal-1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    let events = format!("id: 1\ndata: {tenant}\n\nid: 3\ndata: three\n\n");
    let _ = stream.write_all(format!("{head}{:x}\r\n{events}\r\n0\r\n\r\n", events.len()).as_bytes());
}

/// What an endpoint saw of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    /// How often it arrived.
    pub count: u32,
    /// The endpoint at which it last arrived.
    pub endpoint: Option<&'static str>,
    /// How often an endpoint with late copies began to work on it.
    pub runs: u32,
    /// Its `Deadline` when it last arrived, milliseconds.
    pub deadline_ms: Option<u64>,
    /// When its connection was closed while the endpoint had not answered.
    pub closed_at: Option<Instant>,
}

/// What endpoints saw of each request, by its id.
pub type Arrivals = Arc<Mutex<HashMap<String, Arrival>>>;

/// Serves an endpoint. Words at the end of a path say how it ends the first attempt of a request; every other is answered
/// well.
fn serve_endpoint(address: String, endpoint: &'static str, arrivals: Arrivals) {
    let late_copies = LateCopies::default();
    serve(address, move |stream, received| {
        let id = header(&received.head, "Request-Id").unwrap_or_default();
        let leaked = header(&received.head, "Authorization").is_some();
        let elsewhere = header(&received.head, "Expect-Endpoint").as_deref() != Some(endpoint);
        if leaked || elsewhere {
            answer_with(stream, "400 Bad Request", &format!("Request-Id: {id}\r\n"), "");
            return false;
        }
        let arrival = {
            let mut arrivals = arrivals.lock().unwrap();
            let arrival = arrivals.entry(id.clone()).or_default();
            arrival.count += 1;
            arrival.endpoint = Some(endpoint);
            arrival.deadline_ms = header(&received.head, "Deadline").and_then(|value| value.parse().ok());
            arrival.count
        };
        let ending = received.target.rsplit('/').next().unwrap_or_default();
        if let Some(takes_ms) = ending.strip_prefix(OWN) {
            return answer_with_own(stream, received, &id, takes_ms.parse().unwrap_or(0));
        }
        if let Some(first_answer) = FirstAnswer::of_ending(ending) {
            if late_copies.serve(stream, &id, first_answer) == Served::Failed {
                return true;
            }
            arrivals.lock().unwrap().entry(id.clone()).or_default().runs += 1;
            answer_well(stream, received, &id);
            return false;
        }
        if arrival == 1 || ["poison", "always-failed"].contains(&ending) {
            let goes_on = misbehave(stream, received, &id, ending);
            if ending == "silent" {
                arrivals.lock().unwrap().entry(id).or_default().closed_at = Some(Instant::now());
            }
            goes_on
        } else {
            answer_well(stream, received, &id);
            false
        }
    });
}

/// An answer that is whole: events on routes of streams, else a body.
fn answer_well(stream: &TcpStream, received: &ReceivedRequest, id: &str) {
    let streams = ["/live/", "/flow/", "/bulk/"].iter().any(|prefix| received.target.starts_with(prefix));
    if streams {
        stream_events(stream, received, false);
    } else {
        answer_with(stream, "200 OK", &format!("Request-Id: {id}\r\nSeal: seal-1\r\n"), "done");
    }
}

/// An answer, after so many ms, that no other request has: its body is the request's id, on routes of streams the data of three
/// events, the time being spent between them. Whether the connection goes on.
fn answer_with_own(mut stream: &TcpStream, received: &ReceivedRequest, id: &str, takes_ms: u64) -> bool {
    let own = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSeal: seal-{id}\r\n");
    if !received.target.starts_with("/live/") && !received.target.starts_with("/flow/") {
        std::thread::sleep(Duration::from_millis(takes_ms));
        return write!(stream, "{own}Content-Length: {}\r\n\r\n{id}", id.len()).is_ok();
    }
    let last: usize = header(&received.head, "Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let _ = write!(stream, "{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for number in last + 1..=3 {
        let event = own_event(id, number);
        let _ = write!(stream, "{:x}\r\n{event}\r\n", event.len());
        std::thread::sleep(Duration::from_millis(takes_ms / 3));
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// An event of a stream that belongs to this request alone.
pub fn own_event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}

/// Ends an attempt as the word says; whether the connection goes on.
fn misbehave(mut stream: &TcpStream, received: &ReceivedRequest, id: &str, ending: &str) -> bool {
    let own = format!("Request-Id: {id}\r\nSeal: s\r\n");
    match ending {
        "poison" => answer_with(stream, "422 Unprocessable Content", &own, ""),
        "break" => stream_events(stream, received, true),
        "close-before" => {}
        "close-in-head" => drop(stream.write_all(b"HTTP/1.1 200 OK\r\nRequest-I")),
        "close-in-body" if received.target.starts_with("/live/") || received.target.starts_with("/flow/") => {
            stream_events(stream, received, true);
        }
        "close-in-body" => {
            let head = format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 4\r\n\r\ndo");
            let _ = stream.write_all(head.as_bytes());
        }
        "skip" if received.target.starts_with("/live/") || received.target.starts_with("/flow/") => {
            skip_an_event(stream, received, id);
        }
        "not-run" => answer_with(stream, "503 Service Unavailable", &format!("{own}Not-Run: 1\r\n"), ""),
        "not-run-cut" => {
            let head =
                format!("HTTP/1.1 503 Service Unavailable\r\n{own}Not-Run: 1\r\nContent-Length: 9\r\n\r\nfu");
            let _ = stream.write_all(head.as_bytes());
        }
        "not-run-stalled" => {
            let head =
                format!("HTTP/1.1 503 Service Unavailable\r\n{own}Not-Run: 1\r\nContent-Length: 9\r\n\r\nfu");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.set_read_timeout(None);
            // Until the other side closes the connection.
            let _ = stream.read(&mut [0; 1]);
        }
        "lie" => answer_with(stream, "503 Service Unavailable", &own, ""),
        "gone" => answer_with(stream, "421 Misdirected Request", &own, ""),
        "always-failed" => answer_with(stream, "500 Internal Server Error", &own, "failed"),
        "failed" => answer_with(stream, "500 Internal Server Error", &own, "failed"),
        "interim" => {
            let _ = stream.write_all(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            answer_well(stream, received, id);
        }
        "stray" => {
            let _ = stream.write_all(
                b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nSeal: of-another\r\nContent-Length: 5\r\n\r\nother",
            );
            answer_well(stream, received, id);
        }
        "spoilt-id" => answer_with(stream, "200 OK", "Request-Id: another\r\nSeal: s\r\n", "other"),
        "unframed" => {
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{own}\r\nbody").as_bytes());
        }
        "silent" => {
            let _ = stream.set_read_timeout(None);
            // Until the other side closes the connection.
            let _ = stream.read(&mut [0; 1]);
        }
        "keep" => {
            let _ =
                stream.write_all(format!("HTTP/1.1 200 OK\r\n{own}Content-Length: 4\r\n\r\ndone").as_bytes());
            return true;
        }
        "keep-long" => {
            let forever = format!("{own}Keep-Alive: timeout={}\r\n", u64::MAX);
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\n{forever}Content-Length: 4\r\n\r\ndone").as_bytes());
            return true;
        }
        "nameless" => answer_with(stream, "503 Service Unavailable", "Not-Run: 1\r\n", ""),
        _ => answer_well(stream, received, id),
    }
    false
}

/// Processes of a tier; killed at the end.
pub struct Tier {
    block: String,
    folder: PathBuf,
    /// Couriers that the settings name as seeds.
    seeds: Vec<usize>,
    couriers: Vec<Option<Child>>,
    stores: Vec<Option<Child>>,
    arrivals: Arrivals,
}

impl Tier {
    /// Starts three couriers with disks, three stores, the platform and its endpoint.
    pub fn start() -> Tier {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        // Several tests of one process run at once, beside other processes.
        let id = std::process::id() * TIERS + STARTED.fetch_add(1, Ordering::Relaxed) % TIERS;
        let block = format!("127.{}.{}", 32 + id % 200, id / 200 % 250);
        let folder = std::env::temp_dir().join(format!("quillmount-tier-{id}"));
        let arrivals = Arrivals::default();
        serve_endpoint(format!("{block}.250:{ENDPOINT}"), "i-1", arrivals.clone());
        serve_endpoint(format!("{block}.249:{ENDPOINT}"), "i-2", arrivals.clone());
        let entry = |host: u32, id: &str| {
            format!(
                r#"{{"Backend":"llm","Address":"{block}.{host}:{ENDPOINT}","Az":"a","Gen":"v1","Capacity":8,"Phase":"up","ColdLeftMs":0,"Id":"{id}"}}"#
            )
        };
        let list =
            format!(r#"{{"Endpoints":[{},{}],"NextCursor":null}}"#, entry(250, "i-1"), entry(249, "i-2"));
        serve(format!("{block}.251:{PLATFORM}"), move |stream, received| {
            let body = if received.target.starts_with("/endpoints") { list.as_str() } else { "" };
            answer_with(stream, "200 OK", "", body);
            false
        });
        let (couriers, stores) = (Vec::new(), Vec::new());
        let mut tier = Tier { block, folder, seeds: vec![0, 1, 2], couriers, stores, arrivals };
        tier.couriers = (0..3).map(|number| Some(tier.spawn("courier", number))).collect();
        tier.stores = (0..3).map(|number| Some(tier.spawn("store", number))).collect();
        tier
    }

    fn ip(&self, role: &str, number: usize) -> String {
        let base = if role == "store" { 200 } else { 10 };
        format!("{}.{}", self.block, base + number)
    }

    fn spawn(&self, role: &str, number: usize) -> Child {
        self.spawn_on(role, number, number < CORE, true)
    }

    /// Starts a process; `has_disk` holds for couriers, stores always have one.
    fn spawn_on(&self, role: &str, number: usize, has_disk: bool, counts_for_quorum: bool) -> Child {
        let ip = self.ip(role, number);
        let data = self.folder.join(format!("{role}-{number}"));
        std::fs::create_dir_all(&data).unwrap();
        let data = if role == "courier" && !has_disk { String::new() } else { data.display().to_string() };
        let peers: Vec<String> =
            self.seeds.iter().map(|peer| format!("\"{}:{ADMIN}\"", self.ip("courier", *peer))).collect();
        let sockets = match role {
            "courier" => {
                format!("Http = \"{ip}:{HTTP}\"\nReadyz = \"{ip}:{READY}\"\nAdmin = \"{ip}:{ADMIN}\"\n")
            }
            _ => String::new(),
        };
        let settings = format!(
            "Hostname = \"{role}-{number}\"\nBindIp = \"{ip}\"\nAz = \"a\"\nPortRange = [{INTERNAL}, {}]\nPeers = [{}]\nBootstrap = true\nCountsForQuorum = {counts_for_quorum}\nVarDir = \"{}\"\n[Sockets]\n{sockets}[Limits]\nRamMb = 200\nNofile = 1000\nDiskMb = 64\n[Survive]\nBoxes = 1\n[Slo]\n[CloudApi]\nAddress = \"{}.251:{PLATFORM}\"\n",
            INTERNAL + 15,
            peers.join(","),
            data,
            self.block
        );
        let file = self.folder.join(format!("{role}-{number}.toml"));
        std::fs::write(&file, settings).unwrap();
        Command::new(BINARY)
            .args([role, "--metrics", &format!("{METRICS}/figures")])
            .env("QUILLMOUNT_NODE_FILE", &file)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// How often a request reached an endpoint.
    pub fn arrivals(&self, request_id: &str) -> u32 {
        self.arrival(request_id).count
    }

    /// What endpoints saw of a request.
    pub fn arrival(&self, request_id: &str) -> Arrival {
        self.arrivals.lock().unwrap().get(request_id).copied().unwrap_or_default()
    }

    /// The figures of a process, `courier` or `store`, at a path.
    pub fn figures(&self, role: &str, number: usize, path: &str) -> Option<Answer> {
        let address = format!("{}:{METRICS}", self.ip(role, number));
        http(&address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
    }

    /// Numbers of the couriers that run.
    pub fn couriers(&self) -> Vec<usize> {
        (0..self.couriers.len()).filter(|number| self.couriers[*number].is_some()).collect()
    }

    pub fn admin(&self, courier: usize) -> String {
        format!("{}:{ADMIN}", self.ip("courier", courier))
    }

    pub fn client_address(&self, courier: usize) -> String {
        format!("{}:{HTTP}", self.ip("courier", courier))
    }

    /// The courier that answers the operator itself.
    pub fn primary(&self) -> Option<usize> {
        let answers = |courier: &usize| {
            let request = "GET /-/config/get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            http(&self.admin(*courier), request).is_some_and(|answer| answer.status == 200)
        };
        self.couriers().into_iter().find(answers)
    }

    /// Adds a courier without a disk.
    pub fn add_courier(&mut self) {
        let courier = self.spawn("courier", self.couriers.len());
        self.couriers.push(Some(courier));
    }

    /// Adds a courier with a disk that does not count for the quorum; returns its number.
    pub fn add_uncounted_courier(&mut self) -> usize {
        let number = self.couriers.len();
        self.couriers.push(Some(self.spawn_on("courier", number, true, false)));
        number
    }

    /// Adds a store; returns its name.
    pub fn add_store(&mut self, counts_for_quorum: bool) -> String {
        let number = self.stores.len();
        self.stores.push(Some(self.spawn_on("store", number, true, counts_for_quorum)));
        format!("store-{number}")
    }

    /// Names of the files in a courier's folder.
    pub fn files_of_courier(&self, number: usize) -> Vec<String> {
        let folder = self.folder.join(format!("courier-{number}"));
        let names = std::fs::read_dir(folder).unwrap().flatten();
        names.map(|entry| entry.file_name().to_string_lossy().into_owned()).collect()
    }

    /// Kills everything, and starts it again with settings that name these couriers as seeds.
    pub fn restart_all(&mut self, seeds: &[usize]) {
        self.couriers.iter_mut().chain(&mut self.stores).for_each(|child| end(child.take()));
        self.seeds = seeds.to_vec();
        self.couriers = (0..self.couriers.len()).map(|number| Some(self.spawn("courier", number))).collect();
        self.stores = (0..self.stores.len()).map(|number| Some(self.spawn("store", number))).collect();
    }

    pub fn kill_courier(&mut self, number: usize) {
        end(self.couriers[number].take());
    }

    /// Asks a courier to stop.
    pub fn terminate_courier(&mut self, number: usize) {
        assert!(self.signal("courier", number, "TERM"));
    }

    /// Sends a signal to a process of a role, if it runs; whether it was sent.
    pub fn signal(&mut self, role: &str, number: usize, signal: &str) -> bool {
        let Some(child) = self.processes(role)[number].as_mut() else { return false };
        if !matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        let command = format!("kill -{signal} {}", child.id());
        Command::new("sh").arg("-c").arg(command).status().unwrap().success()
    }

    fn processes(&mut self, role: &str) -> &mut Vec<Option<Child>> {
        if role == "store" { &mut self.stores } else { &mut self.couriers }
    }

    /// How a process has ended, if it has.
    pub fn ending_of(&mut self, role: &str, number: usize) -> Option<ExitStatus> {
        self.processes(role)[number].as_mut().and_then(|child| child.try_wait().unwrap())
    }

    /// Starts a process again that has ended, with its folder.
    pub fn start_again(&mut self, role: &str, number: usize) {
        end(self.processes(role)[number].take());
        let child = self.spawn(role, number);
        self.processes(role)[number] = Some(child);
    }

    /// Arrivals at the endpoints, to be read beside changes of the tier.
    pub fn shared_arrivals(&self) -> Arrivals {
        self.arrivals.clone()
    }

    /// Whether a courier's process runs.
    pub fn is_running(&mut self, number: usize) -> bool {
        self.couriers[number].as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Starts a courier that was killed, with its folder.
    pub fn start_courier(&mut self, number: usize) {
        self.couriers[number] = Some(self.spawn("courier", number));
    }

    pub fn kill_store(&mut self, number: usize) {
        end(self.stores[number].take());
    }
}

fn end(child: Option<Child>) {
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.couriers.drain(..).for_each(end);
        self.stores.drain(..).for_each(end);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A key of the only tenant.
pub const KEY: &str = "Token key-of-kaje";

/// A configuration with a live and a bulk route.
pub fn configuration(version: u64) -> String {
    configuration_with(version, "")
}

/// The same with further routes, each followed by a comma.
pub fn configuration_with(version: u64, routes: &str) -> String {
    format!(
        r#"{{"Gen":{version},"Routes":[{routes}
        {{"Name":"live","Host":"a.example","PathPrefix":"/live/","Mode":"stream","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"llm","Tries":2,"Public":false,"Resumable":true,"gap_aim_ms":250}},
        {{"Name":"flow","Host":"a.example","PathPrefix":"/flow/","Mode":"stream","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"llm","Tries":2,"Public":false,"Resumable":false,"gap_aim_ms":250}},
        {{"Name":"safe","Host":"a.example","PathPrefix":"/safe/","Mode":"safe","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"llm","Tries":2,"Public":false}},
        {{"Name":"once","Host":"a.example","PathPrefix":"/once/","Mode":"mutating","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"llm","Tries":2,"Public":false}},
        {{"Name":"bulk","Host":"a.example","PathPrefix":"/bulk/","Mode":"bulk","DeadlineMs":6000,"TargetMs":2000,"Prio":2,"Backend":"llm","Tries":3,"Public":false,"DueMs":8000,"RetainS":40}}],
        "Backends":[{{"Name":"llm","Probe":"/healthz","MaxConns":100,"Proto":"h1","Tls":false}}],
        "Limits":{{"HdrBytes":16384,"BodyBytes":4194304,"HdrMs":3000,"IdleMs":15000}},
        "Accounts":[{{"Name":"kaje","Apikeys":["key-of-kaje"],"Prio":1}}]}}"#
    )
}

/// Tries until `attempt` gives something, for as long as a slow machine may need.
pub fn eventually<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + Duration::from_secs(60);
    while Instant::now() < until {
        if let Some(value) = attempt() {
            return value;
        }
        std::thread::yield_now();
    }
    panic!("{what}: not within a minute");
}

/// Sends an order to any courier, following redirects as callers do.
pub fn order(tier: &Tier, path: &str, base: u64, body: &str) -> Option<u16> {
    let admins: Vec<String> = tier.couriers().into_iter().map(|courier| tier.admin(courier)).collect();
    order_at(&admins, path, base, body)
}

/// The same at any of these addresses.
pub fn order_at(admins: &[String], path: &str, base: u64, body: &str) -> Option<u16> {
    for admin in admins {
        let mut address = admin.clone();
        for _ in 0..3 {
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: x\r\nBase-Version: {base}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let Some(answer) = http(&address, &request) else { break };
            match answer.status {
                307 => {
                    let location = header(&answer.head, "Location")?;
                    address = location.trim_start_matches("http://").split('/').next()?.to_owned();
                }
                503 => break,
                status => return Some(status),
            }
        }
    }
    None
}

/// Sends a call with the key of the only tenant and these further headers, each with its line end.
pub fn call_with_key(address: &str, line: &str, headers: &str, body: &str) -> Option<Answer> {
    let request = format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nAuthorization: {KEY}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    http(address, &request)
}

/// Sends a request to a courier, with an id that is its path.
pub fn live(tier: &Tier, courier: usize, path: &str, key: &str) -> Option<Answer> {
    send_request(tier, courier, path, key, 4000)
}

/// Sends a request to a courier, with an id that is its path, and a deadline in ms.
pub fn send_request(tier: &Tier, courier: usize, path: &str, key: &str, deadline: u32) -> Option<Answer> {
    send_request_to(&tier.client_address(courier), path, key, deadline)
}

/// The same at the address of a courier.
pub fn send_request_to(address: &str, path: &str, key: &str, deadline: u32) -> Option<Answer> {
    let body = "prompt";
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-{path}\r\nDeadline: {deadline}\r\nAuthorization: {key}\r\nTenant: forged\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    http(address, &request)
}
