//! Clients with batch jobs: they submit them until they are accepted, and read the results again and again.

use super::Soak;
use super::client::{Connection, Outcome};
use crate::harness::{Answer, KEY};
use miniserde::Deserialize;
use quillmount_test_support::random::Random;
use std::time::{Duration, Instant};

const ITEMS: usize = 3;
const MOST_BETWEEN_MS: u64 = 600;
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// For how long the results of all jobs are waited for at the end.
const READ_BACK: Duration = Duration::from_secs(25);
/// The text of each item: the events of a stream.
const TEXT: &str = "kaje\ntwo\nthree";

/// A page of results.
#[derive(Deserialize)]
struct Page {
    #[serde(rename = "Total")]
    total: usize,
    #[serde(rename = "NextCursor")]
    next: usize,
    #[serde(rename = "Outputs")]
    outputs: Vec<Output>,
}

/// A result.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
struct Output {
    #[serde(rename = "Id")]
    id: String,
    #[serde(rename = "Phase")]
    phase: String,
    #[serde(rename = "Text")]
    text: String,
}

/// A call about batch jobs that was sent and got no whole answer.
pub struct Unanswered {
    pub courier: usize,
    pub call: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// The answer began.
    pub is_broken_off: bool,
}

/// A batch job.
pub struct Job {
    id: String,
    pub items: Vec<String>,
    pub accepted_at: Option<Instant>,
    /// Each try was answered that nothing of it runs.
    pub is_refused: bool,
    /// Answers of 404 or 410 to reads: courier, and when the read was sent and answered.
    pub missing: Vec<(usize, Instant, Instant)>,
    /// Calls that got no whole answer.
    pub unanswered: Vec<Unanswered>,
    /// Results read so far.
    results: Vec<Output>,
    pub faults: Vec<String>,
}

impl Job {
    /// Compares a page from the start with what was read before.
    fn note(&mut self, body: &str) {
        let Ok(page) = miniserde::json::from_str::<Page>(body) else {
            self.faults.push(format!("MIXED: {} has no page of results: {body}", self.id));
            return;
        };
        let common = self.results.len().min(page.outputs.len());
        let mut ids: Vec<&String> = page.outputs.iter().map(|output| &output.id).collect();
        ids.sort();
        ids.dedup();
        let is_right = page.total == ITEMS
            && page.next == page.outputs.len()
            && ids.len() == page.outputs.len()
            && page.outputs[..common] == self.results[..common]
            && page.outputs.iter().all(|output| self.items.contains(&output.id))
            && page.outputs.iter().all(|output| output.phase == "done" && output.text == TEXT);
        if !is_right {
            self.faults.push(format!("TWICE or MIXED: {}: {body} after {:?}", self.id, self.results));
        }
        if page.outputs.len() > self.results.len() {
            self.results = page.outputs;
        }
    }

    /// Makes a call on a connection of its own.
    fn call(&mut self, soak: &Soak, courier: usize, request: &str) -> Option<Answer> {
        let mut connection = Connection::open(&soak.clients[courier])?;
        let sent_at = Instant::now();
        let outcome = connection.call(request)?;
        let is_broken_off = matches!(outcome, Outcome::BrokenOff);
        if let Outcome::Answered(answer) = outcome {
            return Some(answer);
        }
        let call = format!("{} {}", self.id, request.lines().next().unwrap_or_default());
        self.unanswered.push(Unanswered { courier, call, sent_at, ended_at: Instant::now(), is_broken_off });
        None
    }

    fn read(&mut self, soak: &Soak, courier: usize, wait_ms: u64) -> Option<usize> {
        let sent_at = Instant::now();
        let request = format!(
            "GET /-/lots/{}?StartAfter=0 HTTP/1.1\r\nHost: a.example\r\nAuthorization: {KEY}\r\nWait: {wait_ms}\r\nConnection: close\r\n\r\n",
            self.id
        );
        let answer = self.call(soak, courier, &request)?;
        match answer.status {
            200 => self.note(&answer.body),
            404 | 410 => self.missing.push((courier, sent_at, Instant::now())),
            _ => return None,
        }
        (answer.status == 200).then_some(self.results.len())
    }
}

fn submit(soak: &Soak, courier: usize, job: &mut Job) -> Option<Answer> {
    let items: Vec<String> = job
        .items
        .iter()
        .map(|id| {
            format!(r#"{{"Id":"{id}","Path":"/bulk/{id}","Headers":{{}},"Body":"cXVpbGw=","Tokens":5}}"#)
        })
        .collect();
    let body = format!(r#"{{"Requests":[{}]}}"#, items.join(","));
    let request = format!(
        "POST /bulk/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {}\r\nAuthorization: {KEY}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        job.id,
        body.len()
    );
    job.call(soak, courier, &request)
}

/// Submits a job until it is accepted, or the run stops.
fn submit_until_accepted(soak: &Soak, random: &mut Random, number: u64) -> Job {
    let id = format!("job-{}-{number}", soak.seed);
    let items = (0..ITEMS).map(|item| format!("{id}-{item}")).collect();
    let (missing, unanswered, results, faults) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut job =
        Job { id, items, accepted_at: None, is_refused: true, missing, unanswered, results, faults };
    while job.accepted_at.is_none() && !soak.is_stopped() {
        let answer = submit(soak, random.index(soak.clients.len()), &mut job);
        match answer.map(|answer| answer.status) {
            Some(202) => {
                job.is_refused = false;
                job.accepted_at = Some(Instant::now());
            }
            Some(408 | 421 | 429 | 503) => {}
            _ => job.is_refused = false,
        }
        if job.accepted_at.is_none() {
            std::thread::sleep(RETRY_PAUSE);
        }
    }
    job
}

/// Plays clients with jobs until the run stops.
pub fn play(soak: &Soak) -> Vec<Job> {
    let mut random = Random::from_mixed_seed(soak.seed ^ 0x6a6f);
    let mut jobs: Vec<Job> = Vec::new();
    while !soak.is_stopped() {
        jobs.push(submit_until_accepted(soak, &mut random, jobs.len() as u64));
        for _ in 0..2 {
            std::thread::sleep(Duration::from_millis(random.below(MOST_BETWEEN_MS)));
            let index = random.index(jobs.len());
            if jobs[index].accepted_at.is_some() {
                jobs[index].read(soak, random.index(soak.clients.len()), 300);
            }
        }
    }
    jobs
}

/// Reads each accepted job to its end at two couriers; returns what is missing or differs.
pub fn read_back(soak: &Soak, jobs: &mut [Job]) -> Vec<String> {
    let until = Instant::now() + READ_BACK;
    let mut violations = Vec::new();
    for job in jobs.iter_mut().filter(|job| job.accepted_at.is_some()) {
        for courier in [0, soak.clients.len() - 1] {
            while job.read(soak, courier, 1000) != Some(ITEMS) {
                if Instant::now() > until {
                    violations.push(format!("LOST: {} gives {:?} at the end", job.id, job.results));
                    break;
                }
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }
    violations
}
