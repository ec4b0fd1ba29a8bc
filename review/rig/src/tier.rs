//! A small deployment on loopback: three couriers with a disk, three stores, and a stand-in of the platform.

use crate::http::{self, call, read_message};
use crate::record::Record;
use std::fs;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Program of the deploy file.
const PROGRAM: &str = "target/tier/quillmount-node";
/// Zones of the site, all in one region.
const ZONES: [&str; 3] = ["rennes-a", "brest-b", "lorient-c"];
/// Key of the tenant that sends.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The role of a process, as the deploy file names it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Courier,
    Store,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Courier => "courier",
            Role::Store => "store",
        }
    }
}

/// The processes of a deployment. They are killed when this is dropped.
pub struct Tier {
    /// First three numbers of all addresses.
    block: String,
    /// First of the ports, which are the same on all machines.
    port: u16,
    folder: PathBuf,
    /// File with the ids of the processes, for the script to end them should this program be killed.
    ids: PathBuf,
    record: Record,
    couriers: Vec<Option<Child>>,
    stores: Vec<Option<Child>>,
    /// Rate of the machines' links, megabits per second.
    pub link_mbps: f64,
}

impl Tier {
    /// Finds free addresses; starts nothing.
    pub fn new(case: &Path, record: &Record) -> Tier {
        let id = std::process::id();
        let (block, port) = (0..200)
            .map(|attempt| {
                let number = id.wrapping_mul(31).wrapping_add(attempt * 97);
                (
                    format!("127.{}.{}", 40 + number % 180, number / 180 % 250),
                    21_000 + (number % 400) as u16 * 20,
                )
            })
            .find(|(block, port)| is_free(block, *port))
            .expect("free addresses");
        let folder = std::env::temp_dir().join(format!("quillmount-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ids = case.join("processes.tmp");
        fs::write(&ids, "").expect("the folder of the case can be written");
        let (couriers, stores) = (vec![None, None, None], vec![None, None, None]);
        Tier { block, port, folder, ids, record: record.clone(), couriers, stores, link_mbps: 600.0 }
    }

    /// The address of machine `host` at the port with this offset.
    pub fn address(&self, host: u32, offset: u16) -> String {
        format!("{}.{host}:{}", self.block, self.port + offset)
    }

    /// The address of an endpoint.
    pub fn endpoint(&self, number: usize) -> String {
        self.address(100 + number as u32, 8)
    }

    /// The address of the platform.
    pub fn platform(&self) -> String {
        self.address(251, 5)
    }

    /// The address of a courier for clients.
    pub fn client_address(&self, courier: usize) -> String {
        self.address(10 + courier as u32, 0)
    }

    fn admin(&self, courier: usize) -> String {
        self.address(10 + courier as u32, 2)
    }

    /// Starts all processes, as on the first start of the whole system: three stores and this number of couriers, of which three have a
    /// disk.
    pub fn start(&mut self, couriers: usize) {
        self.couriers.resize_with(couriers, || None);
        for number in 0..couriers {
            self.start_process(Role::Courier, number, true);
        }
        for number in 0..3 {
            self.start_process(Role::Store, number, true);
        }
    }

    fn processes(&mut self, role: Role) -> &mut Vec<Option<Child>> {
        match role {
            Role::Courier => &mut self.couriers,
            Role::Store => &mut self.stores,
        }
    }

    fn data_folder(&self, role: Role, number: usize) -> PathBuf {
        self.folder.join(format!("{}-{number}-data", role.name()))
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_process(&mut self, role: Role, number: usize, is_first_start: bool) {
        let name = format!("{}-{number}", role.name());
        let data = self.data_folder(role, number);
        fs::create_dir_all(&data).expect("a data folder");
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, self.settings(role, number, is_first_start)).expect("a settings file");
        let metrics = if role == Role::Courier { "9464/metrics" } else { "9465/metrics" };
        let log =
            fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let child = Command::new(PROGRAM)
            .args([role.name(), "--metrics", metrics])
            .env("QUILLMOUNT_NODE_FILE", &file)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        let mut ids =
            fs::OpenOptions::new().append(true).open(&self.ids).expect("the file with the processes");
        let _ = writeln!(ids, "{}", child.id());
        self.record.add(&format!("start {name}, first start {is_first_start}"));
        self.processes(role)[number] = Some(child);
    }

    fn settings(&self, role: Role, number: usize, is_first_start: bool) -> String {
        let host = if role == Role::Store { 60 } else { 10 } + number as u32;
        let zone = ZONES[number % 3];
        let peers: Vec<String> = (0..3).map(|courier| format!("\"{}\"", self.admin(courier))).collect();
        let has_disk = role == Role::Store || number < 3;
        let data =
            if has_disk { self.data_folder(role, number).display().to_string() } else { String::new() };
        let (tier, serves, sockets, disk) = match role {
            Role::Courier => (
                "edge",
                "\"edge\",\"ctl\"",
                format!(
                    "[Sockets]\nHttp = \"{}\"\nReadyz = \"{}\"\nAdmin = \"{}\"\n",
                    self.address(host, 0),
                    self.address(host, 1),
                    self.address(host, 2)
                ),
                64,
            ),
            Role::Store => ("store", "\"store\"", String::new(), 520),
        };
        format!(
            "Hostname = \"{tier}-{zone}-{}\"\nRole = \"{}\"\nTier = \"{tier}\"\nServes = [{serves}]\nBindIp = \"{}.{host}\"\n\
             Az = \"{zone}\"\nRegion = \"bzh\"\nPortRange = [{}, {}]\nPeers = [{}]\nBootstrap = {is_first_start}\n\
             CountsForQuorum = {has_disk}\nVarDir = \"{}\"\nDiscover = \"cloud\"\nIngress = \"vip\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"tenants\",\"leader\"]\n\
             [Zones]\nrennes-a = \"bzh\"\nbrest-b = \"bzh\"\nlorient-c = \"bzh\"\n{sockets}\
             [Limits]\nCpuFrac = 0.41\nNcpu = 1\nRamMb = 300\nNofile = 4100\nNicMbps = {}\nDiskMb = {disk}\n\
             [Survive]\nBoxes = 1\nZones = 0\nRegions = 0\n\
             [Slo]\nPeerLagS = 3\nReuseS = 2\nContactMs = 3000\nAckMs = 4000\nSyncS = 4.9\nDrainMs = 3000\nGraceS = 8\nSlackMs = 200\n\
             ApplyMs = 2000\nDowngradeMs = 250\nStretchMs = 5000\nRevoked = false\nRevokeMs = 5000\nFencing = true\nLeaseMs = 3000\n\
             ThawMs = 300\nReportS = 5\nUsageErr = 0.05\nUsageDelayS = 10\nHealS = 12\npass_ms = 120\nagain_s = 0\nCompleteS = 10\n\
             PollS = 120\nAbortMs = 3000\nSettleMs = 1000\nQuotaExcess = 0.1\n\
             [CloudApi]\nAddress = \"{}\"\nRatePerS = 42.0\nJobs = [\"metering\",\"autoscaler\"]\nLagMs = 800\nJobRateS = 50.0\n",
            1 + number / 3,
            role.name(),
            self.block,
            self.port + 10,
            self.port + 19,
            peers.join(","),
            data,
            self.link_mbps,
            self.platform(),
        )
    }

    /// Kills a process.
    pub fn kill(&mut self, role: Role, number: usize) {
        if let Some(mut child) = self.processes(role)[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.add(&format!("kill {}-{number}", role.name()));
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn lose_disk(&mut self, role: Role, number: usize) {
        fs::remove_dir_all(self.data_folder(role, number)).expect("the data folder can be removed");
        self.record.add(&format!("the disk of {}-{number} is lost", role.name()));
    }

    /// Whether all processes that were started and not killed still run.
    pub fn all_run(&mut self) -> bool {
        let children = self.couriers.iter_mut().chain(&mut self.stores).flatten();
        children.map(|child| matches!(child.try_wait(), Ok(None))).fold(true, |all, runs| all && runs)
    }

    /// Sends an order of the operator to each courier in turn, following redirects, until it is acknowledged or refused.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        base: u64,
        body: &str,
        timeout: Duration,
    ) -> Option<http::Message> {
        let until = Instant::now() + timeout;
        let headers = format!("Host: operator\r\nBase-Version: {base}\r\nContent-Type: application/json\r\n");
        let mut courier = 0;
        while Instant::now() < until {
            let mut address = self.admin(courier % 3);
            for _ in 0..3 {
                let Some(answer) = call(&address, method, path, &headers, body.as_bytes()) else { break };
                match answer.status() {
                    307 => {
                        let location = answer.header("Location").unwrap_or_default();
                        let rest = location.trim_start_matches("http://");
                        address = rest.split('/').next().unwrap_or_default().to_owned();
                    }
                    503 => break,
                    _ => return Some(answer),
                }
            }
            courier += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for child in self.couriers.iter_mut().chain(&mut self.stores).flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        let _ = fs::remove_file(&self.ids);
    }
}

fn is_free(block: &str, port: u16) -> bool {
    [10, 11, 12, 60, 61, 62, 251].iter().all(|host| {
        (0..20).all(|offset| TcpListener::bind(format!("{block}.{host}:{}", port + offset)).is_ok())
    })
}

/// Serves the platform: the list of endpoints, and calls of singleton duties, which are accepted.
pub fn serve_platform(tier: &Tier, endpoints: usize, capacity: usize) {
    let entry = |number: usize| {
        format!(
            r#"{{"Backend":"devis-llm","Address":"{}","Az":"{}","Gen":"v1","Capacity":{capacity},"Phase":"up","ColdLeftMs":0,"PipeStage":"both","Models":[{{"Name":"m","Gen":1,"Loras":[]}}],"Id":"i-{number}"}}"#,
            tier.endpoint(number),
            ZONES[number % 3]
        )
    };
    let entries: Vec<String> = (0..endpoints).map(entry).collect();
    let list = format!(r#"{{"Endpoints":[{}],"NextCursor":null}}"#, entries.join(","));
    http::serve(&tier.platform(), move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let body = if request.target().starts_with("/endpoints") { list.as_str() } else { "" };
            if writer.write_all(&http::answer("200 OK", "Content-Type: application/json\r\n", body)).is_err()
            {
                return;
            }
            if request.header("Connection") == Some("close") {
                return;
            }
        }
    });
}
