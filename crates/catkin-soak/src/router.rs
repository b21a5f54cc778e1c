//! Supervises the process of one router: settings, starts, signals and exits.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::check::{EXTRA_REPEATS, SoakBounds};
use crate::domain_check::{COLD_OVERSHOOT, COLD_SLACK};
use crate::ledger::{FaultPeriod, FaultTarget, ProcessExit, StartRecord};
use crate::run::SoakContext;

/// Delay between the exit of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Time after a start in which requests may fail, in milliseconds: the router lists the servers and
/// joins the fleet.
const STARTUP_MILLIS: u64 = 2_000;
/// Minimum age of a process that is sent SIGHUP, in milliseconds: a program has no signal handler
/// right after its start.
const MIN_SIGNAL_AGE_MILLIS: u64 = 500;
/// Time between SIGTERM and SIGKILL.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time by which a process may exceed its grace period, as the machine may be busy.
const EXIT_SLACK: Duration = Duration::from_secs(2);
/// Limit of log lines a second; the logs of a soak must be complete.
const LOG_LINES_PER_SECOND: u32 = 2_000;

/// Addresses of one router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Address of the link to the store.
    pub(crate) store: SocketAddr,
}

/// Keeps the process of one router running.
pub(crate) struct RouterSupervisor {
    pub(crate) index: usize,
    context: Rc<SoakContext>,
    program: PathBuf,
    folder: PathBuf,
    addresses: RouterAddresses,
    /// The running process, until it is reaped.
    process: Cell<Option<Pid>>,
    started: Cell<u64>,
    /// Whether the process was sent a signal to end.
    stop_requested: Cell<bool>,
    /// Whether the process is not started again after its exit.
    retired: Cell<bool>,
    rewrites: Cell<u32>,
    error: RefCell<Option<io::Error>>,
}

impl RouterSupervisor {
    pub(crate) fn new(
        index: usize,
        context: Rc<SoakContext>,
        program: &Path,
        folder: &Path,
        addresses: RouterAddresses,
    ) -> io::Result<Self> {
        let supervisor = Self {
            index,
            context,
            program: program.to_owned(),
            folder: folder.to_owned(),
            addresses,
            process: Cell::new(None),
            started: Cell::new(0),
            stop_requested: Cell::new(false),
            retired: Cell::new(false),
            rewrites: Cell::new(0),
            error: RefCell::new(None),
        };
        supervisor.write_settings()?;
        Ok(supervisor)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("router-{}.json", self.index))
    }

    fn write_settings(&self) -> io::Result<()> {
        let addresses = &self.addresses;
        let settings = json!({
            "vm": format!("vm-{}", self.index),
            "domain": format!("domain-{}", self.index % 3),
            "callers": addresses.callers,
            "ready": addresses.ready,
            "peers": addresses.peers,
            "metrics": addresses.metrics,
            "store": addresses.store,
            "server_source": addresses.callers.ip(),
            "grace_seconds": GRACE_PERIOD.as_secs(),
            "retry_ratio": 0.2,
            "retry_extra": EXTRA_REPEATS,
            "load_factor": 2,
            "cold_overshoot": COLD_OVERSHOOT,
            "cold_slack": COLD_SLACK,
            "evacuation_millis": SoakBounds::default().evacuation,
            "memory_megabytes": 200,
            "descriptors": 2_000,
            "log_lines_per_second": LOG_LINES_PER_SECOND + self.rewrites.get(),
        });
        std::fs::write(self.settings_path(), settings.to_string())
    }

    /// Address from which the router connects to servers.
    pub(crate) fn source(&self) -> IpAddr {
        self.addresses.callers.ip()
    }

    /// Changes the settings file without a signal.
    pub(crate) fn rewrite_settings(&self) -> io::Result<()> {
        self.rewrites.set(self.rewrites.get() + 1);
        self.write_settings()
    }

    /// Restarts the process after each exit until the supervisor retires.
    pub(crate) async fn run_until_retired(&self) {
        while !self.retired.get() {
            if let Err(error) = self.run_once().await {
                *self.error.borrow_mut() = Some(error);
                return;
            }
            sleep(RESTART_DELAY).await;
        }
    }

    /// Takes the error that kept the process from starting.
    pub(crate) fn take_error(&self) -> Option<io::Error> {
        self.error.borrow_mut().take()
    }

    async fn run_once(&self) -> io::Result<()> {
        let mut child = self.spawn()?;
        let started = self.context.now();
        self.started.set(started);
        self.context
            .ledger
            .borrow_mut()
            .starts
            .push(StartRecord { router: self.index, at: started });
        self.record_fault(started, started + STARTUP_MILLIS, false);
        self.stop_requested.set(false);
        self.process.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        child.wait().await?;
        self.process.set(None);
        if !self.stop_requested.get() {
            let exit =
                ProcessExit { router: self.index, at: self.context.now(), exceeded_grace: false };
            self.context.ledger.borrow_mut().exits.push(exit);
        }
        Ok(())
    }

    fn spawn(&self) -> io::Result<Child> {
        let path = self.folder.join(format!("router-{}.log", self.index));
        let log = File::options().create(true).append(true).open(path)?;
        Command::new(&self.program)
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Address at which the router answers whether it accepts callers.
    pub(crate) fn ready_address(&self) -> SocketAddr {
        self.addresses.ready
    }

    /// The running process, if any.
    pub(crate) fn process(&self) -> Option<Pid> {
        self.process.get()
    }

    /// Sends a signal to the process and returns its id; `None` if no process runs.
    pub(crate) fn signal(&self, signal: Signal) -> Option<Pid> {
        let process = self.process.get()?;
        // Fails if the process has exited and was not reaped yet.
        let _ = kill_process(process, signal);
        Some(process)
    }

    /// Sends SIGHUP to the process, unless it started too recently to handle it.
    pub(crate) fn reload_settings(&self) {
        if self.context.now() >= self.started.get() + MIN_SIGNAL_AGE_MILLIS {
            self.signal(Signal::HUP);
        }
    }

    /// Kills the process; it is started again unless the supervisor has retired.
    pub(crate) fn kill(&self) {
        self.stop_requested.set(true);
        if self.signal(Signal::KILL).is_some() {
            let now = self.context.now();
            self.record_fault(now, now + STARTUP_MILLIS, false);
        }
    }

    /// Sends SIGTERM to the process and kills it if it does not exit within its grace period.
    pub(crate) async fn stop(&self) {
        self.stop_requested.set(true);
        let start = self.context.now();
        let Some(process) = self.signal(Signal::TERM) else { return };
        let period = self.record_fault(start, start + GRACE_PERIOD.as_millis() as u64, true);
        let ended = async {
            while self.process.get() == Some(process) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if tokio::time::timeout(GRACE_PERIOD + EXIT_SLACK, ended).await.is_ok() {
            self.context.end_period(period);
            return;
        }
        self.kill();
        let now = self.context.now();
        let targets = [FaultTarget::Router(self.index), FaultTarget::Machine];
        if !self.context.ledger.borrow().is_affected(&targets, start, now) {
            let exit = ProcessExit { router: self.index, at: now, exceeded_grace: true };
            self.context.ledger.borrow_mut().exits.push(exit);
        }
    }

    /// Stops the process and does not start it again.
    pub(crate) async fn retire(&self) {
        self.retired.set(true);
        self.stop().await;
    }

    fn record_fault(&self, from: u64, until: u64, planned: bool) -> usize {
        let target = FaultTarget::Router(self.index);
        self.context.begin_period(FaultPeriod { target, from, until, planned })
    }
}
