//! One router's process: settings, starts, signals, ends.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::ledger::{FaultPeriod, FaultSubject, ProcessEnd, StartRecord};
use crate::run::SoakBoard;

/// Pause between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// Time that a started process gets before requests must go well: it lists servers and joins.
const START_MILLIS: u64 = 2_000;
/// Age from which a process is sent SIGHUP: no program can watch a signal before it runs.
const SIGNAL_AGE_MILLIS: u64 = 500;
/// Seconds between the signal to stop and the kill.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// How much later than its grace a process may be seen to end: the machine is busy.
const GRACE_SLACK: Duration = Duration::from_secs(2);
/// Log lines a second; soak runs are read line by line.
const LOG_LINES: u32 = 2_000;

/// Addresses of one router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// The link to the store.
    pub(crate) store: SocketAddr,
}

/// Keeps one router running.
pub(crate) struct RouterKeeper {
    pub(crate) index: usize,
    board: Rc<SoakBoard>,
    program: PathBuf,
    folder: PathBuf,
    addresses: RouterAddresses,
    /// The process that runs and has not been waited for.
    process: Cell<Option<Pid>>,
    started: Cell<u64>,
    /// Whether the process was told to end.
    told: Cell<bool>,
    /// Stays at rest once its process has ended.
    retired: Cell<bool>,
    rewrites: Cell<u32>,
    fault: RefCell<Option<io::Error>>,
}

impl RouterKeeper {
    pub(crate) fn new(
        index: usize,
        board: Rc<SoakBoard>,
        program: &Path,
        folder: &Path,
        addresses: RouterAddresses,
    ) -> io::Result<Self> {
        let keeper = Self {
            index,
            board,
            program: program.to_owned(),
            folder: folder.to_owned(),
            addresses,
            process: Cell::new(None),
            started: Cell::new(0),
            told: Cell::new(false),
            retired: Cell::new(false),
            rewrites: Cell::new(0),
            fault: RefCell::new(None),
        };
        keeper.write_settings()?;
        Ok(keeper)
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
            "grace_seconds": GRACE.as_secs(),
            "retry_ratio": 0.2,
            "retry_extra": 50 + self.rewrites.get(),
            "load_factor": 2,
            "memory_megabytes": 200,
            "descriptors": 2_000,
            "log_lines_per_second": LOG_LINES,
        });
        std::fs::write(self.settings_path(), settings.to_string())
    }

    /// Changes the settings file.
    pub(crate) fn rewrite_settings(&self) -> io::Result<()> {
        self.rewrites.set(self.rewrites.get() + 1);
        self.write_settings()
    }

    /// Starts the process again and again until the keeper retires.
    pub(crate) async fn keep(&self) {
        while !self.retired.get() {
            if let Err(error) = self.run_once().await {
                *self.fault.borrow_mut() = Some(error);
                return;
            }
            sleep(RESTART_PAUSE).await;
        }
    }

    /// Why the process could not be started, if so.
    pub(crate) fn take_fault(&self) -> Option<io::Error> {
        self.fault.borrow_mut().take()
    }

    async fn run_once(&self) -> io::Result<()> {
        let mut child = self.spawn()?;
        let started = self.board.now();
        self.started.set(started);
        self.board.ledger.borrow_mut().starts.push(StartRecord { router: self.index, at: started });
        self.note_period(started, started + START_MILLIS, false);
        self.told.set(false);
        self.process.set(child.id().and_then(|id| Pid::from_raw(id as i32)));
        child.wait().await?;
        self.process.set(None);
        if !self.told.get() {
            let end = ProcessEnd { router: self.index, at: self.board.now(), overran: false };
            self.board.ledger.borrow_mut().ends.push(end);
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

    /// Where it tells whether it takes callers.
    pub(crate) fn ready_address(&self) -> SocketAddr {
        self.addresses.ready
    }

    /// The process that runs, if any.
    pub(crate) fn process(&self) -> Option<Pid> {
        self.process.get()
    }

    /// Sends a signal to the process, if one runs.
    pub(crate) fn signal(&self, signal: Signal) -> Option<Pid> {
        let process = self.process.get()?;
        // A process that has ended and was not waited for yet takes no signal.
        let _ = kill_process(process, signal);
        Some(process)
    }

    /// Tells the process that its settings changed, unless it has only just started.
    pub(crate) fn hang_up(&self) {
        if self.board.now() >= self.started.get() + SIGNAL_AGE_MILLIS {
            self.signal(Signal::HUP);
        }
    }

    /// Kills the process; its next start follows.
    pub(crate) fn kill(&self) {
        self.told.set(true);
        if self.signal(Signal::KILL).is_some() {
            let now = self.board.now();
            self.note_period(now, now + START_MILLIS, false);
        }
    }

    /// Tells the process to stop and kills it if it does not end within its grace.
    pub(crate) async fn stop(&self) {
        self.told.set(true);
        let began = self.board.now();
        let Some(process) = self.signal(Signal::TERM) else { return };
        let period = self.note_period(began, began + GRACE.as_millis() as u64, true);
        let ended = async {
            while self.process.get() == Some(process) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if tokio::time::timeout(GRACE + GRACE_SLACK, ended).await.is_ok() {
            self.board.end_period(period);
            return;
        }
        self.kill();
        let now = self.board.now();
        let subjects = [FaultSubject::Router(self.index), FaultSubject::Machine];
        if !self.board.ledger.borrow().is_harmed(&subjects, began, now) {
            let end = ProcessEnd { router: self.index, at: now, overran: true };
            self.board.ledger.borrow_mut().ends.push(end);
        }
    }

    /// Stops the process for good.
    pub(crate) async fn retire(&self) {
        self.retired.set(true);
        self.stop().await;
    }

    fn note_period(&self, from: u64, until: u64, planned: bool) -> usize {
        let subject = FaultSubject::Router(self.index);
        self.board.begin_period(FaultPeriod { subject, from, until, planned })
    }
}
