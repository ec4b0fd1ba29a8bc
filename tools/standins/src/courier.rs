//! A courier's process between stand-ins, with a folder of its own that ends with it.

use crate::config::merge;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

/// The example's configuration, with other addresses.
const CONFIG: &str = include_str!("../../../courier/example/config.json");
/// Lines of the log that are kept for whoever asks; what comes when they are full is let go.
const LINES_MAX: usize = 4_096;
/// A stopping courier ends within 3.4 s.
const STOP: Duration = Duration::from_secs(6);

/// What a courier is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program `quillmount`.
    pub program: PathBuf,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Each provider, by its destination.
    pub endpoints: Vec<(u64, SocketAddr)>,
    /// The operator file, if there is one.
    pub operator: Option<Value>,
    /// Put into the configuration as JSON merge does, one level deep in `limits` and `settings`.
    pub slots: u32,
    /// Messages pending at most.
    pub open_cap: u32,
    /// Likewise in `limits`, as in `{"sockets": 64}`.
    pub limits: Value,
    /// What `ulimit -n` lets its process have; none: as the test's own.
    pub descriptors: Option<u32>,
    /// Operators may call.
    pub operators: bool,
    /// Put over the configuration, field by field.
    pub config: Value,
    /// What RUST_LOG says; empty: it is not set, and the operator file holds.
    pub levels: String,
}

impl Setup {
    /// A setup with default settings and limits.
    pub fn new(program: impl Into<PathBuf>, platform: SocketAddr, endpoints: Vec<(u64, SocketAddr)>) -> Self {
        let program = program.into();
        let levels = "info".into();
        Setup {
            program,
            platform,
            endpoints,
            operator: None,
            slots: 8,
            open_cap: 100,
            limits: json!({}),
            descriptors: None,
            operators: false,
            config: json!({}),
            levels,
        }
    }
}

/// A running courier; dropped, it is killed, and its folder removed.
pub struct Courier {
    setup: Setup,
    child: Child,
    /// The folder of the process, with its configuration and state.
    pub folder: PathBuf,
    /// Where consumers reach it.
    pub addr: SocketAddr,
    /// Where operators call it, if they may.
    pub operators: Option<SocketAddr>,
    /// The lines of its log.
    pub log: Receiver<String>,
}

/// A courier's process that another has followed, or that has only begun; dropped, it is killed.
pub struct PreviousProcess {
    child: Child,
    /// The address for operators, if there is one.
    pub operators: Option<SocketAddr>,
    /// The lines of its log.
    pub log: Receiver<String>,
}

impl Drop for PreviousProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl PreviousProcess {
    /// SIGTERM.
    ///
    /// # Errors
    /// It is gone.
    pub fn send_sigterm(&self) -> Result<()> {
        signal(&self.child, Signal::TERM)
    }

    /// SIGHUP.
    ///
    /// # Errors
    /// It is gone.
    pub fn send_sighup(&self) -> Result<()> {
        signal(&self.child, Signal::HUP)
    }

    /// SIGKILL; it has ended when this returns.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// It did not end in time.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus> {
        wait_for_exit(&mut self.child).await
    }
}

fn signal(child: &Child, signal: Signal) -> Result<()> {
    kill_process(Pid::from_child(child), signal).map_err(Error::from)
}

async fn wait_for_exit(child: &mut Child) -> Result<ExitStatus> {
    let by = Instant::now() + STOP;
    while Instant::now() < by {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(Error::other("the courier did not stop"))
}

impl Drop for Courier {
    fn drop(&mut self) {
        // Where it has ended already there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Courier {
    /// Starts one, and waits until it serves.
    ///
    /// # Errors
    /// It did not start; the error has the last line of its log.
    pub fn start(setup: Setup) -> Result<Courier> {
        Courier::start_in(setup, "")
    }

    /// The same, in a folder whose name ends so.
    ///
    /// # Errors
    /// It did not start.
    pub fn start_in(setup: Setup, suffix: &str) -> Result<Courier> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let name = format!("quillmount-{}-{}{suffix}", std::process::id(), NUMBER.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(folder.join("state"))?;
        let mut config: Value = serde_json::from_str(CONFIG)?;
        let servers = setup.endpoints.iter().map(|(dest, addr)| {
            json!({"id": endpoint_id(*dest, *addr), "addr": addr, "zone": "bkk-dc1", "kind": "bank",
                   "cell": dest, "state": "ready", "weight": 1000.0, "started_ms": 0})
        });
        config["known"]["servers"] = servers.collect();
        config["listen"] = "127.0.0.1:0".into();
        if setup.operators {
            config["operator"] = "127.0.0.1:0".into();
        }
        config["discovery"] = setup.platform.to_string().into();
        config["settings"]["family_info"]["call_slots"] = setup.slots.into();
        config["settings"]["limits"]["open_cap"] = setup.open_cap.into();
        for (name, value) in setup.limits.as_object().into_iter().flatten() {
            config["limits"][name] = value.clone();
        }
        merge(&mut config, &setup.config);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        if let Some(operator) = &setup.operator {
            std::fs::write(folder.join("operator.json"), operator.to_string())?;
        }
        let Launched { child, addr, operators, log } = launch(&setup, &folder)?;
        Ok(Courier { setup, child, folder, addr, operators, log })
    }

    /// SIGKILL, and a start with the same folder.
    ///
    /// # Errors
    /// It did not start again.
    pub fn kill_and_restart(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        let Launched { child, addr, operators, log } = launch(&self.setup, &self.folder)?;
        (self.child, self.addr, self.operators, self.log) = (child, addr, operators, log);
        Ok(())
    }

    /// Another process with the same folder and configuration, which takes over; the one before is returned.
    ///
    /// # Errors
    /// It did not start.
    pub fn upgrade(&mut self) -> Result<PreviousProcess> {
        let next = launch(&self.setup, &self.folder)?;
        self.addr = next.addr;
        let child = std::mem::replace(&mut self.child, next.child);
        let operators = std::mem::replace(&mut self.operators, next.operators);
        Ok(PreviousProcess { child, operators, log: std::mem::replace(&mut self.log, next.log) })
    }

    /// Another process with the same folder and configuration, which may be anywhere on its way; its log from the start.
    ///
    /// # Errors
    /// It can't be started.
    pub fn spawn_another(&self) -> Result<PreviousProcess> {
        let mut child = command(&self.setup, &self.folder).spawn()?;
        let log = child.stderr.take().ok_or_else(|| Error::other("the courier has no log"))?;
        Ok(PreviousProcess { child, operators: None, log: forward_log(BufReader::new(log).lines()) })
    }

    /// SIGKILL, and no start.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Changes its configuration file; a start or SIGHUP reads it.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn configure(&self, change: impl FnOnce(&mut Value)) -> Result<()> {
        let path = self.folder.join("config.json");
        let mut config = serde_json::from_slice(&std::fs::read(&path)?)?;
        change(&mut config);
        std::fs::write(path, config.to_string())
    }

    /// SIGSTOP: it hangs from here on.
    ///
    /// # Errors
    /// It is gone.
    pub fn suspend_nowait(&self) -> Result<()> {
        signal(&self.child, Signal::STOP)
    }

    /// SIGSTOP, and waits until it stands still.
    ///
    /// # Errors
    /// It is gone.
    pub fn suspend(&self) -> Result<()> {
        self.suspend_nowait()?;
        let stat = format!("/proc/{}/stat", self.child.id());
        let stands = |text: &str| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T"));
        while !stands(&std::fs::read_to_string(&stat)?) {
            std::thread::yield_now();
        }
        Ok(())
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// It is gone.
    pub fn resume(&self) -> Result<()> {
        signal(&self.child, Signal::CONT)
    }

    /// Its descriptors that are open; 0 where the system does not tell.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Waits until a line of its log has these words.
    ///
    /// # Errors
    /// It did not say them in time.
    pub async fn wait_for_log(&self, text: &str) -> Result<()> {
        let by = Instant::now() + STOP;
        while Instant::now() < by {
            if self.log.try_iter().any(|line| line.contains(text)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Err(Error::other(format!("the courier did not say {text:?}")))
    }

    /// SIGHUP.
    ///
    /// # Errors
    /// It is gone.
    pub fn send_sighup(&self) -> Result<()> {
        signal(&self.child, Signal::HUP)
    }

    /// SIGTERM.
    ///
    /// # Errors
    /// It is gone.
    pub fn send_sigterm(&self) -> Result<()> {
        signal(&self.child, Signal::TERM)
    }

    /// Waits for its end after SIGTERM.
    ///
    /// # Errors
    /// It did not end in time.
    pub async fn wait_for_exit(&mut self) -> Result<ExitStatus> {
        wait_for_exit(&mut self.child).await
    }

    /// The ids of its providers.
    pub fn endpoint_ids(&self) -> Vec<String> {
        self.setup.endpoints.iter().map(|(dest, addr)| endpoint_id(*dest, *addr)).collect()
    }

    /// Its resident memory now and at most, in bytes; 0 where the system does not tell.
    pub fn memory(&self) -> (u64, u64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        (field("VmRSS:").unwrap_or(0) * 1_024, field("VmHWM:").unwrap_or(0) * 1_024)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

fn endpoint_id(dest: u64, addr: SocketAddr) -> String {
    format!("partner-{dest}-{}", addr.port())
}

/// CPU time that a process has used; 0 where the system does not tell.
pub fn cpu_of(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    // Behind the name: utime is the twelfth, stime the thirteenth, in hundredths of a second.
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}

struct Launched {
    child: Child,
    addr: SocketAddr,
    operators: Option<SocketAddr>,
    log: Receiver<String>,
}

/// Unread, its log would fill the pipe and hold the courier up.
fn forward_log(lines: impl Iterator<Item = Result<String>> + Send + 'static) -> Receiver<String> {
    let (to, from) = sync_channel(LINES_MAX);
    std::thread::spawn(move || {
        lines.map_while(std::result::Result::ok).for_each(|line| drop(to.try_send(line)));
    });
    from
}

fn command(setup: &Setup, folder: &Path) -> Command {
    let mut command = match setup.descriptors {
        None => Command::new(&setup.program),
        Some(most) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\"")]).arg(&setup.program);
            shell
        }
    };
    command.arg("run");
    if setup.operator.is_some() {
        command.arg("--operator").arg(folder.join("operator.json"));
    }
    if setup.levels.is_empty() {
        command.env_remove("RUST_LOG");
    } else {
        command.env("RUST_LOG", &setup.levels);
    }
    command
        .env("GW_CONFIG", folder.join("config.json"))
        .env("GW_STATE", folder.join("state"))
        .env_remove("GW_NAME")
        .env_remove("GW_LISTEN")
        .env_remove("GW_DISCOVERY")
        .env_remove("GW_OPERATOR")
        .env_remove("GW_INHERITED_FD")
        .stderr(Stdio::piped());
    command
}

fn launch(setup: &Setup, folder: &Path) -> Result<Launched> {
    let mut child = command(setup, folder).spawn()?;
    let log = child.stderr.take().ok_or_else(|| Error::other("the courier has no log"))?;
    let mut lines = BufReader::new(log).lines();
    let (mut last, mut operators) = (String::new(), None);
    while let Some(line) = lines.next() {
        last = line?;
        if let Some((_, addr)) = last.split_once("operators: listening on ") {
            operators = addr.parse().ok();
        }
        let Some((_, rest)) = last.split_once("serving on ") else { continue };
        let addr = rest.split(';').next().and_then(|addr| addr.parse().ok());
        let addr = addr.ok_or_else(|| Error::other(last.clone()))?;
        return Ok(Launched { child, addr, operators, log: forward_log(lines) });
    }
    let _ = child.wait();
    Err(Error::other(format!("the courier did not start: {last}")))
}
