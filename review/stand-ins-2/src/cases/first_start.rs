//! One process of the core is killed while the system starts for the first time, and is started a second later.

use super::{Outcome, Verdict, prepare, sleep_s};
use crate::client::{self, BulkRoute, HOST, KEY};
use crate::http::call;
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::time::Duration;

const COURIERS: usize = CORE + 1;
/// When the process is killed, after it was started, seconds.
const KILLED_AFTER_S: f64 = 0.6;
/// When it is started after that, seconds.
const DOWN_S: f64 = 1.0;
/// How long the operator tries to have the first configuration taken.
const OPERATOR_TRIES: Duration = Duration::from_secs(70);
const REQUESTS: usize = 40;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut running = prepare(root, record, &[("llm", 3)])?;
    let bootstrap_at_return = std::env::var("BOOTSTRAP").map_or(true, |value| value != "false");
    running.tier.start_all(COURIERS, 3)?;
    if trouble {
        sleep_s(KILLED_AFTER_S);
        running.tier.kill("courier-0")?;
        sleep_s(DOWN_S);
        running.tier.restart("courier", 0, bootstrap_at_return)?;
    }
    let admins = running.tier.admin_addresses(COURIERS);
    let configuration = client::configuration(
        7,
        &[BulkRoute {
            name: "notes",
            service: "llm",
        }],
        "",
    );
    let began = record.seconds();
    let taken = client::order(record, &admins, "POST /-/config/put", 0, &configuration, OPERATOR_TRIES);
    let status = taken.map(|answer| answer.status());
    record.print(format!(
        "first configuration: {status:?} after {:.1} s",
        record.seconds() - began
    ));
    let ready = client::wait_until_ready(&running.tier, COURIERS, Duration::from_secs(5));
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("9c41d07be2a3{number:04x}");
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("Request-Id", id.as_str()),
            ("Model", "m"),
            ("Token-Count", "540,400"),
            ("Deadline", "4000"),
        ];
        let answer = call(
            &running.tier.client_address(number % COURIERS),
            "POST /live/2f",
            &headers,
            b"prompt",
            Duration::from_secs(4),
        );
        let status = answer.map(|answer| answer.status());
        record.add(format!("client request {id}: {status:?}"));
        served += usize::from(status.is_ok_and(|status| status == 200));
        sleep_s(0.1);
    }
    record.print(format!(
        "{ready} of {COURIERS} couriers ready, {served} of {REQUESTS} requests served"
    ));
    let ended = running.tier.ended();
    record.add(format!("processes that ended by themselves: {ended:?}"));
    if status == Some(200) && served > 0 {
        return Ok(Verdict::Held(format!(
            "the system started, {served} of {REQUESTS} requests were served"
        )));
    }
    Ok(Verdict::Broken(format!(
        "no request was served, and the first configuration was not taken in {OPERATOR_TRIES:?}"
    )))
}
