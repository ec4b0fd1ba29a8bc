//! One item of one batch job states the version of the weights that it expects, and no endpoint has that version yet.

use super::{Outcome, Verdict, listed, prepare, sleep_s, start, was_at_endpoint};
use crate::client::{self, BulkRoute, Job};
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const COURIERS: usize = CORE + 1;
/// Ordinary jobs after the one with the header, and the time between two of them, seconds.
const JOBS: usize = 40;
const GAP_S: f64 = 0.2;
/// Time that jobs have after the traffic.
const COMPLETE_S: f64 = 10.0;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut running = prepare(root, record, &[("llm", 6)])?;
    start(
        &mut running,
        record,
        COURIERS,
        3,
        &[BulkRoute {
            name: "notes",
            service: "llm",
        }],
    )?;
    sleep_s(3.0);
    let mut first = Job::new("7c41e09b52d6a3f8", "notes", 1, 400);
    if trouble {
        first.items[0].headers.push(("Expect-Version".to_owned(), "2".to_owned()));
    }
    if !client::submit(record, &running.tier, COURIERS, &first, Duration::from_secs(10)) {
        return Err(std::io::Error::other("the first job was not taken"));
    }
    sleep_s(3.0);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let job = Job::new(&format!("5a02{:012x}", number * 7919), "notes", 10, 1_200);
        if client::submit(record, &running.tier, COURIERS, &job, Duration::from_secs(5)) {
            jobs.push(job);
        }
        sleep_s(GAP_S);
    }
    let traffic_ended = Instant::now();
    record.print(format!("{} ordinary jobs taken; the traffic ends", jobs.len()));
    sleep_s((COMPLETE_S - traffic_ended.elapsed().as_secs_f64()).max(0.0));
    let listed = listed(record, &running, COURIERS, &jobs);
    let endpoints = running.platform.endpoints.lock().unwrap().clone();
    let busy: usize = endpoints.iter().map(|endpoint| endpoint.active.load(Ordering::Relaxed)).sum();
    let idle_s = running.seen.idle_for().as_secs_f64();
    let short = jobs
        .iter()
        .zip(&listed)
        .filter(|(job, listed)| **listed < job.items.len() && !was_at_endpoint(&running, job));
    let short: Vec<String> = short
        .map(|(job, listed)| format!("{} ({listed} of {})", job.id, job.items.len()))
        .collect();
    let unlisted: usize = jobs.iter().zip(&listed).map(|(job, listed)| job.items.len() - listed).sum();
    record.print(format!(
        "{idle_s:.1} s without work at any endpoint, {busy} requests there now; jobs that are not done: {short:?}"
    ));
    if !short.is_empty() && idle_s > 3.0 && busy == 0 {
        return Ok(Verdict::Broken(format!(
            "{unlisted} items of {} accepted jobs, none with the header, are listed neither as done nor as dead_letter, while all endpoints stand idle",
            short.len()
        )));
    }
    Ok(Verdict::Held(format!(
        "{unlisted} items of ordinary jobs are unlisted, endpoints idle for {idle_s:.1} s"
    )))
}
