//! The endpoints of one service are lost for good; batch jobs of another service, whose endpoints are well, wait beside its jobs.

use super::{Outcome, Verdict, listed, prepare, sleep_s, start, was_at_endpoint};
use crate::client::{self, BulkRoute, Job};
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const COURIERS: usize = CORE + 1;
/// Jobs of the service that is well; the other one gets the first ones only.
const JOBS: usize = 24;
const OTHER_JOBS: usize = 10;
/// Time between two jobs of a service, seconds.
const GAP_S: f64 = 0.4;
/// Time between two events, and tokens out of an item: 10 events.
const EVENT_GAP_US: u64 = 25_000;
const TOKENS_OUT: u64 = 2_000;
/// Time that jobs have after the traffic.
const COMPLETE_S: f64 = 10.0;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut running = prepare(root, record, &[("notes-llm", 1), ("briefs-llm", 6)])?;
    let bulk = [
        BulkRoute {
            name: "notes",
            service: "notes-llm",
        },
        BulkRoute {
            name: "briefs",
            service: "briefs-llm",
        },
    ];
    start(&mut running, record, COURIERS, 3, &bulk)?;
    sleep_s(3.0);
    let endpoints = running.platform.endpoints.lock().unwrap().clone();
    for endpoint in &endpoints {
        endpoint.event_gap.store(EVENT_GAP_US, Ordering::Relaxed);
    }
    if trouble {
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.service == "notes-llm") {
            endpoint.is_down.store(true, Ordering::Relaxed);
            record.add(format!("endpoint {} is lost for good", endpoint.id));
        }
    }
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let routes: &[&str] = if number < OTHER_JOBS {
            &["notes", "briefs"]
        } else {
            &["briefs"]
        };
        for route in routes {
            let route = *route;
            let prefix = if route == "notes" { "a1" } else { "b2" };
            let job = Job::new(&format!("{prefix}{:014x}", number * 7919), route, 40, TOKENS_OUT);
            if client::submit(record, &running.tier, COURIERS, &job, Duration::from_secs(5)) {
                jobs.push(job);
            }
        }
        sleep_s(GAP_S);
        if trouble && number == OTHER_JOBS {
            // A crashed endpoint stays on the list for some seconds.
            for endpoint in endpoints.iter().filter(|endpoint| endpoint.service == "notes-llm") {
                endpoint.unlisted.store(true, Ordering::Relaxed);
            }
        }
    }
    record.print(format!("{} jobs taken; the traffic ends", jobs.len()));
    let traffic_ended = Instant::now();
    sleep_s(COMPLETE_S - 3.0);
    let busy: Vec<usize> = endpoints
        .iter()
        .map(|endpoint| endpoint.active.load(Ordering::Relaxed))
        .collect();
    record.print(format!("requests at the endpoints 3 s before the end: {busy:?}"));
    let listed_before = listed(record, &running, COURIERS, &jobs);
    sleep_s((COMPLETE_S - traffic_ended.elapsed().as_secs_f64()).max(0.0));
    let listed_after = listed(record, &running, COURIERS, &jobs);
    let idle_s = running.seen.idle_for().as_secs_f64();
    let busy: usize = endpoints.iter().map(|endpoint| endpoint.active.load(Ordering::Relaxed)).sum();
    record.print(format!(
        "{idle_s:.1} s without work at any endpoint, {busy} requests there now"
    ));
    let mut unlisted = 0;
    let mut affected = 0;
    for ((job, before), after) in jobs.iter().zip(&listed_before).zip(&listed_after) {
        if job.route == "briefs" && *after < job.items.len() && !was_at_endpoint(&running, job) {
            affected += 1;
            unlisted += job.items.len() - after;
            record.add(format!(
                "job {} lists {before}, then {after} of {} items",
                job.id,
                job.items.len()
            ));
        }
    }
    let notes_listed: usize = jobs
        .iter()
        .zip(&listed_after)
        .filter(|(job, _)| job.route == "notes")
        .map(|(_, after)| after)
        .sum();
    record.print(format!("jobs of the other service: {notes_listed} items listed"));
    if unlisted > 0 && idle_s > 3.0 && busy == 0 {
        return Ok(Verdict::Broken(format!(
            "{unlisted} items of {affected} accepted jobs are listed neither as done nor as dead_letter, while the endpoints of their service stand idle"
        )));
    }
    Ok(Verdict::Held(format!(
        "{unlisted} items of the service that is well are unlisted, endpoints idle for {idle_s:.1} s"
    )))
}
