//! The path of an item of a batch job holds line ends and a second head.

use super::{Outcome, Verdict, prepare, sleep_s, start};
use crate::client::{self, BulkRoute, Job, TENANT};
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::time::Duration;

const COURIERS: usize = CORE + 1;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut running = prepare(root, record, &[("llm", 3)])?;
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
    let mut job = Job::new("7c41e09b52d6a3f8", "notes", 4, 400);
    if trouble {
        let forged = "Request-Id: 00000000forged01\r\nTenant: vopu11\r\nModel: m\r\nContent-Length: 0";
        job.items[0].path = format!("/notes/3/91c4 HTTP/1.1\r\nHost: a.example\r\n{forged}\r\n\r\nPOST /notes/3/91c4");
    }
    let taken = client::submit(record, &running.tier, COURIERS, &job, Duration::from_secs(4));
    record.print(format!("the job was taken: {taken}"));
    let (outcomes, _) = client::read_all(record, &running.tier, COURIERS, &job, Duration::from_secs(10));
    record.print(format!("{} of {} items are listed", outcomes.len(), job.items.len()));
    let is_sent = |id: &str| job.items.iter().any(|item| item.id == id);
    let forged = running
        .seen
        .ids_where(|id, runs| !is_sent(id) || runs.tenants.iter().any(|tenant| tenant != TENANT));
    for id in &forged {
        record.print(format!("an endpoint ran {id}: {:?}", running.seen.of(id)));
    }
    if forged.is_empty() {
        return Ok(Verdict::Held("endpoints ran nothing but what the client sent".to_owned()));
    }
    Ok(Verdict::Broken(format!(
        "endpoints ran {} requests that no client sent, for a tenant that does not hold the key",
        forged.len()
    )))
}
