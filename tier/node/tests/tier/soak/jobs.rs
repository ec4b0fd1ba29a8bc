//! Clients with batch jobs: they submit them until they are accepted, and read the results again and again.

use super::Soak;
use super::client::{Connection, Outcome};
use crate::callers::KEY;
use crate::http::{Answer, http};
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
/// Jobs on a route that a change has added, and items whose first attempts fail and whose failure comes once more.
const ADDED_ROUTE_PERCENT: u64 = 60;
const LATE_FAILURE_PERCENT: u64 = 20;
/// Items whose first attempt is not answered, so that changes and troubles meet them while they wait.
const SILENT_PERCENT: u64 = 20;
/// Tries of a submission that another courier gets at the same time.
const REPEATED_PERCENT: u64 = 30;
/// Statuses by which nothing of a job runs.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

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

impl Output {
    fn is_done(&self) -> bool {
        self.phase == "done" && self.text == TEXT
    }

    fn is_given_up(&self) -> bool {
        self.phase == "dead_letter" && self.text.is_empty()
    }
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
    /// The number of its route, if a change has added that.
    pub route: Option<u64>,
    pub items: Vec<String>,
    /// Paths of the items.
    paths: Vec<String>,
    pub accepted_at: Option<Instant>,
    /// When the first answer ended that showed items as given up.
    pub given_up_by: Option<Instant>,
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
    /// A job on the route of the first configuration, or on the newest one that a change has offered.
    fn draw(soak: &Soak, random: &mut Random, number: u64) -> Job {
        let id = format!("job-{}-{number}", soak.seed);
        let newest = soak.offered.lock().unwrap().last().copied();
        let route = newest.filter(|_| random.chance(ADDED_ROUTE_PERCENT));
        let items: Vec<String> = (0..ITEMS).map(|item| format!("{id}-{item}")).collect();
        // A source of its own, so that the other draws of a seed stay.
        let mut silences = Random::from_mixed_seed(soak.seed ^ 0x736c ^ (number << 32));
        let mut path = |item: &String| {
            let is_late_failure = random.chance(LATE_FAILURE_PERCENT);
            let ending = match (is_late_failure, silences.chance(SILENT_PERCENT)) {
                (true, _) => "/late-failure",
                (false, true) => "/silent",
                (false, false) => "",
            };
            format!("/bulk/{item}{ending}")
        };
        let paths = items.iter().map(&mut path).collect();
        let (missing, unanswered, results, faults) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (accepted_at, given_up_by, is_refused) = (None, None, true);
        Job {
            id,
            route,
            items,
            paths,
            accepted_at,
            given_up_by,
            is_refused,
            missing,
            unanswered,
            results,
            faults,
        }
    }

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
            && page.outputs.iter().all(|output| output.is_done() || output.is_given_up());
        if !is_right {
            self.faults.push(format!("TWICE or MIXED: {}: {body} after {:?}", self.id, self.results));
        }
        if page.outputs.iter().any(Output::is_given_up) {
            self.given_up_by.get_or_insert_with(Instant::now);
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

/// The call that submits a job.
fn submission(job: &Job) -> String {
    let item = |(id, path): (&String, &String)| {
        format!(r#"{{"Id":"{id}","Path":"{path}","Headers":{{}},"Body":"cXVpbGw=","Tokens":5}}"#)
    };
    let items: Vec<String> = job.items.iter().zip(&job.paths).map(item).collect();
    let prefix = job.route.map_or("/bulk/".to_owned(), |route| format!("/added-bulk-{route}/"));
    let body = format!(r#"{{"Requests":[{}]}}"#, items.join(","));
    format!(
        "POST {prefix} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {}\r\nAuthorization: {KEY}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        job.id,
        body.len()
    )
}

/// Submits a job at a courier and, if there is one, at another one at the same time.
fn submit(soak: &Soak, courier: usize, other: Option<usize>, job: &mut Job) -> Option<Answer> {
    let request = submission(job);
    std::thread::scope(|scope| {
        let repeated = other.map(|other| {
            let (address, request) = (&soak.clients[other], &request);
            scope.spawn(move || http(address, request))
        });
        let answer = job.call(soak, courier, &request);
        if let Some(repeated) = repeated {
            let repeated = repeated.join().unwrap();
            job.is_refused &= repeated.is_some_and(|answer| REFUSALS.contains(&answer.status));
        }
        answer
    })
}

/// Submits a job until it is accepted, its route is denied, or the run stops.
fn submit_until_accepted(soak: &Soak, random: &mut Random, number: u64) -> Job {
    let mut job = Job::draw(soak, random, number);
    // A source of its own, so that the other draws of a seed stay.
    let mut repeats = Random::from_mixed_seed(soak.seed ^ 0x7265 ^ (number << 32));
    while job.accepted_at.is_none() && !soak.is_stopped() {
        let courier = random.index(soak.clients.len());
        let other = repeats.chance(REPEATED_PERCENT).then(|| repeats.index(soak.clients.len()));
        let answer = submit(soak, courier, other, &mut job);
        match answer.map(|answer| answer.status) {
            Some(202) => {
                job.is_refused = false;
                job.accepted_at = Some(Instant::now());
            }
            Some(status) if REFUSALS.contains(&status) => {}
            // The route may have lost the race of two changes.
            Some(404) if job.route.is_some() => return job,
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
