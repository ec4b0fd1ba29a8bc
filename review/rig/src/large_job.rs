//! A batch job with large results, and the loss of the disks of two stores one after the other.

use crate::Verdict;
use crate::http::{self, Message, answer, call, read_message};
use crate::record::Record;
use crate::tier::{KEY, Role, Tier, serve_platform};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 9;
const CAPACITY: usize = 48;
/// Items of the large job: as many as the largest of the site.
const LARGE_JOB_ITEMS: usize = 150;
/// Items of the job that is there to compare.
const SMALL_JOB_ITEMS: usize = 10;
/// Events of an answer, and bytes of data in each: the largest of the site have 106 events, of at most 600 bytes.
const EVENTS: usize = 105;
const EVENT_BYTES: usize = 580;
const BODY_BYTES: usize = 700;
/// Time for which a store that loses its disk is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time after the return of a store. The pages count it as lost for `SyncS`, 4.9 s.
const CALM: Duration = Duration::from_secs(12);
/// Time for which the results are asked for at the end: `HealS` is 12 s, `CompleteS` 10 s, and `PollS` 120 s from the submission.
const READ_TIME: Duration = Duration::from_secs(40);

pub fn play(folder: &Path, has_fault: bool, record: &Record) -> Verdict {
    let mut tier = Tier::new(folder, record);
    serve_platform(&tier, ENDPOINTS, CAPACITY);
    for number in 0..ENDPOINTS {
        serve_endpoint(&tier, number);
    }
    tier.start(3);
    let taken = tier.order("POST", "/-/config/put", 0, CONFIGURATION, Duration::from_secs(20));
    if taken.map(|answer| answer.status()) != Some(200) {
        record.print("the configuration was not taken");
        return Verdict::NotRun;
    }
    let jobs = [Job::new("7c41e09b52d6a3f8", LARGE_JOB_ITEMS), Job::new("1f2e3d4c5b6a7988", SMALL_JOB_ITEMS)];
    for job in &jobs {
        if !submit(&tier, job, record) {
            return Verdict::NotRun;
        }
    }
    for job in &jobs {
        if !read_to_end(&tier, job, Duration::from_secs(40), record) {
            record.print("the results did not come before the fault");
            return Verdict::NotRun;
        }
    }
    for store in [0, 1] {
        if has_fault {
            tier.kill(Role::Store, store);
            tier.lose_disk(Role::Store, store);
        }
        std::thread::sleep(DOWN);
        if has_fault {
            tier.start_process(Role::Store, store, false);
        }
        std::thread::sleep(CALM);
    }
    if !tier.all_run() {
        record.print("a process has ended by itself");
    }
    let held = jobs.each_ref().map(|job| read_to_end(&tier, job, READ_TIME, record));
    if held.iter().all(|held| *held) { Verdict::Held } else { Verdict::Broken }
}

struct Job {
    id: &'static str,
    items: usize,
}

impl Job {
    fn new(id: &'static str, items: usize) -> Job {
        Job { id, items }
    }

    fn item_id(&self, item: usize) -> String {
        format!("{}{item:04x}", &self.id[..12])
    }

    fn body(&self) -> String {
        let item = |item: usize| {
            format!(
                r#"{{"Id":"{}","Path":"/pule252/{item}/91c4","Headers":{{"Model":"m","Token-Count":"540,4000","Prompt-Prefix":"9c2e41:300,{item:x}d07b8:240"}},"Body":"{}","Tokens":4540}}"#,
                self.item_id(item),
                "q83v".repeat(BODY_BYTES / 3),
            )
        };
        let items: Vec<String> = (0..self.items).map(item).collect();
        format!(r#"{{"Requests":[{}]}}"#, items.join(","))
    }
}

/// The complete text of an item.
fn text_of(item: &str) -> String {
    let events: Vec<String> = (1..=EVENTS).map(|number| data_of(item, number)).collect();
    events.join("\n")
}

fn data_of(item: &str, number: usize) -> String {
    let mut data = format!("{item}.{number}.");
    data.push_str(&"x".repeat(EVENT_BYTES - data.len()));
    data
}

fn serve_endpoint(tier: &Tier, number: usize) {
    let id = format!("i-{number}");
    http::serve(&tier.endpoint(number), move |stream: TcpStream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if writer.write_all(&endpoint_answer(&id, &request)).is_err() {
                return;
            }
        }
    });
}

fn endpoint_answer(id: &str, request: &Message) -> Vec<u8> {
    let item = request.header("Request-Id").unwrap_or_default();
    let head = format!("Request-Id: {item}\r\nSeal: {id}.{item}\r\nVersions: 1\r\n");
    if request.target().starts_with("/healthz") {
        return answer("200 OK", &format!("Endpoint: {id}\r\n"), "");
    }
    if request.header("Expect-Endpoint").is_some_and(|expected| expected != id) {
        return answer("421 Misdirected Request", &head, "");
    }
    let last: usize = request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {}\n\n", data_of(item, number));
        bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn client_headers() -> String {
    format!("Host: nony24.example\r\nAuthorization: Token {KEY}\r\n")
}

fn submit(tier: &Tier, job: &Job, record: &Record) -> bool {
    let headers = format!("{}Request-Id: {}\r\nContent-Type: application/json\r\n", client_headers(), job.id);
    let body = job.body();
    let until = Instant::now() + Duration::from_secs(20);
    let mut courier = 0;
    while Instant::now() < until {
        let address = tier.client_address(courier % 3);
        let status = call(&address, "POST", &format!("/pule252/{}", &job.id[..6]), &headers, body.as_bytes())
            .map(|a| a.status());
        record.print(&format!(
            "batch job {} with {} items, {} bytes: {status:?}",
            job.id,
            job.items,
            body.len()
        ));
        if status == Some(202) {
            return true;
        }
        courier += 1;
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Reads a job's results from the start, at each courier in turn, until all have come or the time is over.
fn read_to_end(tier: &Tier, job: &Job, time_limit: Duration, record: &Record) -> bool {
    let until = Instant::now() + time_limit;
    let mut position = 0;
    let mut courier = 0;
    let mut last_status = None;
    while Instant::now() < until {
        let headers = format!("{}Wait: 1000\r\n", client_headers());
        let target = format!("/-/lots/{}?StartAfter={position}", job.id);
        let read = call(&tier.client_address(courier % 3), "GET", &target, &headers, b"");
        let status = read.as_ref().map(Message::status);
        if status != last_status {
            record.print(&format!(
                "read of {} from position {position} at courier-{}: {status:?}",
                job.id,
                courier % 3
            ));
            last_status = status;
        }
        if let Some(read) = read.filter(|read| read.status() == 200) {
            let text = read.text();
            let next = number_after(&text, "\"NextCursor\":").unwrap_or(position);
            if !results_are_right(job, &text, next - position) {
                record.print(&format!("a result of {} behind position {position} is not the item's", job.id));
                return false;
            }
            position = next;
            if position == job.items {
                record.print(&format!("all {position} results of {} came", job.id));
                return true;
            }
        } else {
            std::thread::sleep(Duration::from_millis(500));
        }
        courier += 1;
    }
    record.print(&format!("{position} of {} results of {} came in {time_limit:?}", job.items, job.id));
    false
}

fn number_after(text: &str, name: &str) -> Option<usize> {
    let rest = &text[text.find(name)? + name.len()..];
    let end = rest.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Whether an answer has as many results as it says, each done and with the complete text of its item.
fn results_are_right(job: &Job, text: &str, count: usize) -> bool {
    let is_there = |item: &String| {
        text.contains(&format!(
            "\"Id\":\"{item}\",\"Phase\":\"done\",\"Text\":\"{}\"",
            text_of(item).replace('\n', "\\n")
        ))
    };
    (0..job.items).map(|item| job.item_id(item)).filter(is_there).count() == count
}

const CONFIGURATION: &str = include_str!("large_job.json");
