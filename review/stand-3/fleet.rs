//! Real routers and stand-in servers as processes, and the record of a case.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;

pub type Failure = Box<dyn std::error::Error>;

/// The record of a case, with the time since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { started: Instant::now(), lines: Arc::new(Mutex::new(file)) })
    }

    pub fn add(&self, line: &str) {
        let millis = self.started.elapsed().as_millis();
        let _ = writeln!(self.lines.lock().unwrap(), "{millis:>6} ms  {line}");
    }
}

/// A router's process and its addresses.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

impl Router {
    /// Writes the settings of a router, as the deploy file's template gives them.
    pub fn prepare(
        folder: &Path,
        number: usize,
        zone: &str,
        store: SocketAddr,
    ) -> Result<Self, Failure> {
        let (callers, ready) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        let settings = folder.join(format!("edge-{number}.json"));
        let text = format!(
            r#"{{"vm": "edge-{zone}-{number}", "domain": "{zone}", "callers": "{callers}",
            "ready": "{ready}", "peers": "{peers}", "metrics": "{metrics}", "store": "{store}",
            "grace_seconds": 8, "retry_ratio": 0.2, "retry_extra": 54, "load_factor": 2,
            "contact_millis": 3000, "contracts": ["base","drain","config","cost","retry","recover",
            "engine","stream","tenants","platform"], "first_start": true, "link_megabits": 1000.0,
            "cpu_share": 0.25, "memory_megabytes": 260, "descriptors": 4100}}"#
        );
        fs::write(&settings, text)?;
        Ok(Self { name: format!("edge-{number}"), callers, ready, settings, process: None })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), Failure> {
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let process = Command::new("target/release/catkin-entry")
            .env("CATKINPITCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> Result<(), Failure> {
        let id = self.process.as_ref().ok_or("the router does not run")?.id();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -TERM {id}")).status()?;
        if sent.success() { Ok(()) } else { Err("SIGTERM was not sent".into()) }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// The settings of later starts don't say that the fleet starts for the first time.
    pub fn mark_started(&self) -> Result<(), Failure> {
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace(r#""first_start": true, "#, "");
        Ok(fs::write(&self.settings, text)?)
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if is_ready(self.ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("a router is not ready after 20 s".into())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A stand-in server's process.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    options: Vec<String>,
    pub version: String,
    /// Start of the process, in Unix milliseconds.
    born: u128,
    process: Option<Child>,
    record: Record,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        options: &[&str],
        store: &Store,
        record: &Record,
    ) -> Result<Self, Failure> {
        let mut server = Self {
            id: id.to_owned(),
            address: free_address()?,
            service: service.to_owned(),
            options: options.iter().map(|option| (*option).to_owned()).collect(),
            version: version.to_owned(),
            born: 0,
            process: None,
            record: record.clone(),
        };
        server.spawn()?;
        server.register(store, "ready");
        Ok(server)
    }

    /// Starts the server again under its `Id` and at its address, with this version of its software.
    pub fn start_again(&mut self, version: &str, store: &Store) -> Result<(), Failure> {
        self.version = version.to_owned();
        self.spawn()?;
        self.register(store, "ready");
        Ok(())
    }

    fn spawn(&mut self) -> Result<(), Failure> {
        let mut process = Command::new(std::env::current_exe()?)
            .arg("server")
            .args(&self.options)
            .arg(format!("id={}", self.id))
            .arg(format!("version={}", self.version))
            .arg(format!("address={}", self.address))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(process.stdout.take().ok_or("no output")?).lines();
        self.process = Some(process);
        lines.next().ok_or("the server did not start")??;
        self.born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
        let (record, name) = (self.record.clone(), format!("{} {}", self.id, self.version));
        record.add(&format!("server {name} listens"));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.add(&format!("server {name}: {line}"));
            }
        });
        Ok(())
    }

    /// Writes the server's entry.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"mittelland-a","Version":"{}",
            "Slots":64,"State":"{state}","ColdRemainingMs":0,"Sequence":1,"born":{}}}"#,
            self.service, self.address, self.version, self.born
        );
        store.write("servers", &self.id, &entry);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A config with one service of model servers, like those of a small deployment.
pub fn write_config(store: &Store) {
    let route = |name: &str, prefix: &str, resumable: bool, attempts: u32| {
        format!(
            r#"{{"Name":"{name}","Host":"ficu95.example","PathPrefix":"/{prefix}/","Kind":"streaming",
            "TimeoutMs":12000,"TargetLatencyMs":500,"TargetGapMs":500,"Priority":0,
            "Service":"estimator-llm","MaxAttempts":{attempts},"Resumable":{resumable},"Sticky":true}}"#
        )
    };
    let confirm = r#"{"Name":"quote-confirm","Host":"ficu95.example","PathPrefix":"/confirm/",
        "Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":2,
        "Service":"quote-desk","MaxAttempts":1}"#;
    let routes = [
        route("slide-core-estimate", "slide", true, 2),
        route("alloy-check", "alloy", false, 1),
        confirm.to_owned(),
    ];
    let config = format!(
        r#"{{"Version":7,"Routes":[{}],"Services":[{{"Name":"estimator-llm","MaxConnections":360,
        "Engine":{{"KvCapacityTokens":564648}}}},{{"Name":"quote-desk","MaxConnections":100}}],"Limits":{{"MaxHeaderBytes":16384,
        "MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
        "Tenants":[{{"Name":"hule930","ApiKeys":["key-1"]}}]}}"#,
        routes.join(",")
    );
    store.write("config", "main", &config);
}

/// Creates a temporary folder for settings and logs.
pub fn temporary_folder(case: &str) -> Result<PathBuf, Failure> {
    let folder = std::env::temp_dir().join(format!("stand-3-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Ports below those that the operating system gives to outgoing connections, so that none of these takes them.
const PORTS: std::ops::Range<u16> = 15_000..30_000;

/// Returns a loopback address that nobody listens on and that was not returned before.
fn free_address() -> Result<SocketAddr, Failure> {
    static USED: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id() * 61 % u32::from(count)) as u16;
    for _ in 0..count {
        let offset =
            (u32::from(first) + u32::from(USED.fetch_add(1, Ordering::Relaxed))) % u32::from(count);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no port is free".into())
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let sent = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    sent.is_ok() && stream.read_to_string(&mut text).is_ok() && text.starts_with("HTTP/1.1 200")
}
