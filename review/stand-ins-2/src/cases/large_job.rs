//! Two stores are replaced by empty ones, the second long after the first has had its time to catch up. One batch job has long results.

use super::{Outcome, Verdict, prepare, sleep_s, start};
use crate::client::{self, BulkRoute, Job};
use crate::endpoint::whole_text;
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::time::Duration;

const COURIERS: usize = CORE + 1;
/// Items of the job with long results, and tokens out of each: 60 events of 800 bytes.
const LONG_ITEMS: usize = 200;
const LONG_TOKENS: u64 = 12_000;
/// Ordinary jobs beside it.
const ORDINARY_JOBS: usize = 80;
/// Time that an empty store has until the next one is lost; `SyncS` is 5.3.
const BETWEEN_LOSSES_S: f64 = 14.0;
/// Time from the last loss to the end of the day; `HealS` is 12.
const AFTER_LOSSES_S: f64 = 14.0;

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
    let long_items = std::env::var("LONG_ITEMS")
        .ok()
        .and_then(|items| items.parse().ok())
        .unwrap_or(LONG_ITEMS);
    let mut jobs = vec![Job::new("7c41e09b52d6a3f8", "notes", long_items, LONG_TOKENS)];
    jobs.extend((0..ORDINARY_JOBS).map(|number| Job::new(&format!("5a02{number:012x}"), "notes", 4, 400)));
    for job in &jobs {
        if !client::submit(record, &running.tier, COURIERS, job, Duration::from_secs(10)) {
            return Err(std::io::Error::other(format!("job {} was not taken", job.id)));
        }
    }
    // Every job is done and read before anything is lost.
    let mut first_reads = Vec::new();
    for job in &jobs {
        let (outcomes, _) = client::read_all(record, &running.tier, COURIERS, job, Duration::from_secs(30));
        if outcomes.len() < job.items.len() {
            return Err(std::io::Error::other(format!(
                "job {}: {} of {} results",
                job.id,
                outcomes.len(),
                job.items.len()
            )));
        }
        first_reads.push(outcomes);
    }
    let bytes: usize = first_reads[0].iter().map(|outcome| outcome.text.len()).sum();
    record.print(format!(
        "all {} jobs are done; the results of the first have {bytes} bytes",
        jobs.len()
    ));
    if trouble {
        running.tier.remove("store-0")?;
        sleep_s(2.0);
        running.tier.start("store", 3, false)?;
        sleep_s(BETWEEN_LOSSES_S);
        running.tier.remove("store-1")?;
        sleep_s(2.0);
        running.tier.start("store", 4, false)?;
    }
    sleep_s(AFTER_LOSSES_S);
    let (mut lost, mut wrong) = (Vec::new(), Vec::new());
    for (job, before) in jobs.iter().zip(&first_reads) {
        let limit = Duration::from_secs(if lost.is_empty() { 12 } else { 4 });
        let (outcomes, failure) = client::read_all(record, &running.tier, COURIERS, job, limit);
        if outcomes.len() < before.len() {
            lost.push(format!(
                "{} ({} of {}, {})",
                job.id,
                outcomes.len(),
                before.len(),
                failure.unwrap_or_default()
            ));
        } else if &outcomes != before {
            wrong.push(job.id.clone());
        }
    }
    let long_is_right = first_reads[0]
        .iter()
        .all(|outcome| outcome.phase == "done" && outcome.text == whole_text(&outcome.id, LONG_TOKENS));
    record.print(format!(
        "jobs that can't be read at the end: {lost:?}; changed: {wrong:?}; first reads right: {long_is_right}"
    ));
    for store in ["store-2", "store-3", "store-4"] {
        for line in running.tier.log_tail(store, 2) {
            record.add(format!("log of {store}: {line}"));
        }
    }
    if lost.is_empty() && wrong.is_empty() {
        return Ok(Verdict::Held(format!(
            "all {} jobs were read at the end as before",
            jobs.len()
        )));
    }
    Ok(Verdict::Broken(format!(
        "{} of {} accepted jobs, all read before, can't be read at the end of the day",
        lost.len(),
        jobs.len()
    )))
}
