//! The operator sends a configuration of some megabytes, and ordinary changes after it.

use super::{Outcome, Verdict, prepare, sleep_s, start};
use crate::client::{self, BulkRoute};
use crate::json::{Value, with_double_quotes};
use crate::record::Record;
use crate::tier::CORE;
use std::path::Path;
use std::time::Duration;

const COURIERS: usize = CORE + 1;
/// Keys of each tenant in the large configuration.
const KEYS: usize = 100;
/// The large configuration has as many tenants as fit into so many bytes: `BodyBytes`, which bounds the bodies of clients, is 4,194,304.
const LARGE_BYTES: usize = 4_193_500;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let bulk = || {
        [BulkRoute {
            name: "notes",
            service: "llm",
        }]
    };
    let mut running = prepare(root, record, &[("llm", 3)])?;
    start(&mut running, record, COURIERS, 3, &bulk())?;
    let admins = running.tier.admin_addresses(COURIERS);
    let mut version = 7;
    if trouble {
        let tenant = |number: usize| {
            let keys: Vec<String> = (0..KEYS).map(|key| format!("\"k{number:08}x{key:011}\"")).collect();
            format!(",{{'Name':'t{number:06}','Apikeys':[{}],'Prio':1}}", keys.join(","))
        };
        let mut accounts = String::new();
        let empty = client::configuration(9, &bulk(), "").len();
        for next in (0..).map(tenant) {
            if empty + accounts.len() + next.len() > LARGE_BYTES {
                // The last tenant fills what is left with one long name.
                let rest = LARGE_BYTES - empty - accounts.len();
                let frame = ",{'Name':'','Apikeys':['k'],'Prio':1}".len();
                if rest > frame + 8 {
                    accounts.push_str(&format!(
                        ",{{'Name':'{}','Apikeys':['k'],'Prio':1}}",
                        "n".repeat(rest - frame)
                    ));
                }
                break;
            }
            accounts.push_str(&next);
        }
        let large = client::configuration(9, &bulk(), &accounts);
        record.print(format!("the large configuration has {} bytes", large.len()));
        let answer = client::order(record, &admins, "POST /-/config/put", 7, &large, Duration::from_secs(20));
        record.print(format!(
            "large configuration: {:?}",
            answer.as_ref().map(|answer| answer.status())
        ));
        if answer.is_some_and(|answer| answer.status() == 200) {
            version = 9;
        }
    }
    // An ordinary change on top of what is in force, as the operator would make it next.
    let patch = with_double_quotes("{'Gen':11,'Upsert':{'Routes':[]},'Remove':{'Routes':[]}}");
    let small = client::order(
        record,
        &admins,
        "POST /-/config/patch",
        version,
        &patch,
        Duration::from_secs(20),
    );
    record.print(format!("ordinary change: {:?}", small.map(|answer| answer.status())));
    sleep_s(3.0);
    let read = client::order(record, &admins, "GET /-/config/get", 0, "", Duration::from_secs(25));
    let generation = read
        .filter(|answer| answer.status() == 200)
        .and_then(|answer| Value::parse(&answer.text()).and_then(|value| value.get("Gen").and_then(Value::number)));
    record.print(format!("the configuration that was read back at the end: {generation:?}"));
    for courier in 0..CORE {
        for line in running.tier.log_tail(&format!("courier-{courier}"), 2) {
            record.add(format!("log of courier-{courier}: {line}"));
        }
    }
    match generation {
        Some(generation) => Ok(Verdict::Held(format!(
            "the configuration was read back, version {generation}"
        ))),
        None => Ok(Verdict::Broken(
            "read back at the end, the configuration does not come".to_owned(),
        )),
    }
}
