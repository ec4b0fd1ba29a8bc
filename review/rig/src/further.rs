//! Two more ways in which the control state stops, which are no cases of their own: see `review/REPORT.md`.

use crate::Verdict;
use crate::record::Record;
use crate::tier::{Role, Tier, serve_platform};
use std::path::Path;
use std::time::Duration;

const ENDPOINTS: usize = 3;
const CAPACITY: usize = 48;
/// Time for which the operator tries in vain.
const PATIENCE: Duration = Duration::from_secs(45);
/// Time after the first start of the system at which a courier with a disk is killed, and for which it is down.
const KILLED_AFTER: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(500);

/// A courier with a disk is killed during the first start of the system and comes back with its disk.
pub fn play_first_start(folder: &Path, has_fault: bool, record: &Record) -> Verdict {
    let mut tier = Tier::new(folder, record);
    serve_platform(&tier, ENDPOINTS, CAPACITY);
    tier.start(3);
    std::thread::sleep(KILLED_AFTER);
    if has_fault {
        tier.kill(Role::Courier, 0);
        std::thread::sleep(DOWN);
        tier.start_process(Role::Courier, 0, false);
    }
    if put(&tier, 0, &configuration(1, 10), record) == Some(200) { Verdict::Held } else { Verdict::Broken }
}

/// The operator sends a valid configuration that is larger than a segment of a core member's ring, and reads the configuration.
pub fn play_large_configuration(folder: &Path, has_fault: bool, record: &Record) -> Verdict {
    let mut tier = Tier::new(folder, record);
    serve_platform(&tier, ENDPOINTS, CAPACITY);
    tier.start(3);
    if put(&tier, 0, &configuration(1, 10), record) != Some(200) {
        return Verdict::NotRun;
    }
    let keys = if has_fault { 25_000 } else { 15_000 };
    put(&tier, 1, &configuration(3, keys), record);
    let read = tier.order("GET", "/-/config/get", 0, "", PATIENCE);
    let status = read.map(|answer| answer.status());
    record.print(&format!("the configuration, read back: {status:?}"));
    if status == Some(200) { Verdict::Held } else { Verdict::Broken }
}

fn put(tier: &Tier, base: u64, body: &str, record: &Record) -> Option<u16> {
    let status = tier.order("POST", "/-/config/put", base, body, PATIENCE).map(|answer| answer.status());
    record.print(&format!("a configuration of {} bytes: {status:?}", body.len()));
    status
}

/// A configuration with eight tenants that have this number of keys each.
fn configuration(version: u64, keys: usize) -> String {
    let tenant = |tenant: usize| {
        let keys: Vec<String> = (0..keys).map(|key| format!("\"k{tenant}x{key:018}\"")).collect();
        format!(r#"{{"Name":"t{tenant}","Apikeys":[{}],"Prio":1}}"#, keys.join(","))
    };
    let tenants: Vec<String> = (0..8).map(tenant).collect();
    let routes = r#"[{"Name":"r-a","Host":"a.example","PathPrefix":"/a/","Mode":"safe","DeadlineMs":4000,"TargetMs":300,"Prio":0,"Backend":"devis-llm","Tries":2,"Public":false}]"#;
    let services = r#"[{"Name":"devis-llm","Probe":"/healthz","MaxConns":330,"Proto":"h1","Tls":false}]"#;
    let limits = r#"{"HdrBytes":16384,"BodyBytes":4194304,"HdrMs":3000,"IdleMs":15000}"#;
    let tenants = tenants.join(",");
    format!(
        r#"{{"Gen":{version},"Routes":{routes},"Backends":{services},"Limits":{limits},"Accounts":[{tenants}]}}"#
    )
}
