//! Two tenants give a batch job the same id.

use super::{Outcome, Verdict, prepare, sleep_s, start};
use crate::client::{self, BulkRoute, HOST, Job};
use crate::http::{Message, call};
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::time::Duration;

const COURIERS: usize = CORE + 1;
const OTHER_KEY: &str = "Token n2ctnfzs989anu6wsjnb";

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut running = prepare(root, record, &[("llm", 3)])?;
    let bulk = || {
        [BulkRoute {
            name: "notes",
            service: "llm",
        }]
    };
    start(&mut running, record, COURIERS, 3, &bulk())?;
    let admins = running.tier.admin_addresses(COURIERS);
    let accounts = ",{'Name':'vopu11','Apikeys':['n2ctnfzs989anu6wsjnb'],'Prio':1}";
    let configuration = client::configuration(9, &bulk(), accounts);
    client::order(
        record,
        &admins,
        "POST /-/config/put",
        7,
        &configuration,
        Duration::from_secs(10),
    );
    sleep_s(3.0);
    let first = Job::new("7c41e09b52d6a3f8", "notes", 4, 400);
    let mut second = Job::new(if trouble { "7c41e09b52d6a3f8" } else { "7c41e09b52d6a3f9" }, "notes", 4, 400);
    for item in &mut second.items {
        item.id = format!("b2{}", item.id);
    }
    if !client::submit(record, &running.tier, COURIERS, &first, Duration::from_secs(5)) {
        return Err(std::io::Error::other("the first job was not taken"));
    }
    sleep_s(2.0);
    let headers = [
        ("Host", HOST),
        ("Authorization", OTHER_KEY),
        ("Request-Id", second.id.as_str()),
        ("Content-Type", "application/json"),
    ];
    let address = running.tier.client_address(1);
    let taken = call(
        &address,
        "POST /notes/7c41e0",
        &headers,
        second.body().as_bytes(),
        Duration::from_secs(3),
    );
    let taken = taken.map(|answer| answer.status()).unwrap_or(0);
    sleep_s(5.0);
    let read = call(
        &address,
        &format!("GET /-/lots/{}?StartAfter=0", second.id),
        &headers[..2],
        b"",
        Duration::from_secs(3),
    );
    let read = read.as_ref().map(Message::status).unwrap_or(0);
    let ran = second
        .items
        .iter()
        .filter(|item| running.seen.of(&item.id).arrivals > 0)
        .count();
    record.print(format!(
        "the second tenant's job: answered {taken}, read {read}, {ran} of {} items ran",
        second.items.len()
    ));
    if taken == 202 && (read != 200 || ran < second.items.len()) {
        return Ok(Verdict::Broken(format!(
            "a job was answered 202, is answered {read} when it is read, and {ran} items ran"
        )));
    }
    Ok(Verdict::Held(format!("answered {taken}, read {read}, {ran} items ran")))
}
