//! Fixtures: a scripted service and a raw caller.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use catkin_base::{CallRefusal, RefusalReason, RunVerdict};
use catkin_caller::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallerLimits,
    CallerListener, CallerShutdown, RequestIds,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// What the service does with a call.
#[derive(Clone)]
pub enum ServiceScript {
    /// Refuses it.
    Refuse(CallRefusal),
    /// Never gives a head.
    HangBeforeHead,
    /// Gives these steps as the answer.
    Answer { content_type: &'static str, steps: Vec<AnswerStep> },
}

/// One step of an answer.
#[derive(Clone)]
pub enum AnswerStep {
    Data(Bytes),
    /// Waits until the test sends a go.
    AwaitGo,
    /// Never comes back.
    Hang,
    Cut,
    End,
}

/// A service that follows a script and tells the test what happens to its calls.
pub struct ScriptedService {
    script: ServiceScript,
    calls: flume::Sender<CallRequest>,
    drops: flume::Sender<()>,
    goes: flume::Receiver<()>,
}

/// An answer under way; its drop is told to the test.
pub struct ScriptedAnswer {
    start: AnswerStart,
    steps: std::vec::IntoIter<AnswerStep>,
    goes: flume::Receiver<()>,
    _watch: DropWatch,
}

struct DropWatch(flume::Sender<()>);

impl Drop for DropWatch {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl CallService for ScriptedService {
    type Answer = ScriptedAnswer;

    async fn call(&self, request: CallRequest) -> Result<ScriptedAnswer, CallRefusal> {
        let watch = DropWatch(self.drops.clone());
        let _ = self.calls.send(request);
        match self.script.clone() {
            ServiceScript::Refuse(refusal) => Err(refusal),
            ServiceScript::HangBeforeHead => std::future::pending().await,
            ServiceScript::Answer { content_type, steps } => Ok(ScriptedAnswer {
                start: AnswerStart {
                    status: 200,
                    content_type: content_type.to_owned(),
                    hint: Some("hint-1".to_owned()),
                    replayed: false,
                },
                steps: steps.into_iter(),
                goes: self.goes.clone(),
                _watch: watch,
            }),
        }
    }
}

impl CallAnswer for ScriptedAnswer {
    fn start(&self) -> &AnswerStart {
        &self.start
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        loop {
            match self.steps.next() {
                Some(AnswerStep::Data(bytes)) => return Ok(AnswerPart::Data(bytes)),
                Some(AnswerStep::AwaitGo) => self.goes.recv_async().await.unwrap(),
                Some(AnswerStep::Hang) => std::future::pending().await,
                Some(AnswerStep::Cut) => return Err(broken_server()),
                Some(AnswerStep::End) | None => return Ok(AnswerPart::End),
            }
        }
    }
}

fn broken_server() -> AnswerError {
    let refusal = CallRefusal::not_run(RefusalReason::ServerFailed, "the server failed")
        .with_verdict(RunVerdict::HasRun);
    AnswerError { refusal }
}

/// A listener that runs, and the test's ends of its service.
pub struct RunningListener {
    pub address: SocketAddr,
    pub shutdown: CallerShutdown,
    pub serving: JoinHandle<()>,
    pub calls: flume::Receiver<CallRequest>,
    pub drops: flume::Receiver<()>,
    pub goes: flume::Sender<()>,
}

pub async fn start_listener(script: ServiceScript, limits: CallerLimits) -> RunningListener {
    let (calls_in, calls) = flume::unbounded();
    let (drops_in, drops) = flume::unbounded();
    let (goes, goes_out) = flume::unbounded();
    let service = ScriptedService { script, calls: calls_in, drops: drops_in, goes: goes_out };
    let address = ([127, 0, 0, 1], 0).into();
    let ids = RequestIds::from_seed(7);
    let listener = CallerListener::bind(address, limits, ids, Arc::new(service)).await.unwrap();
    RunningListener {
        address: listener.local_address().unwrap(),
        shutdown: listener.shutdown_handle(),
        serving: tokio::spawn(listener.serve()),
        calls,
        drops,
        goes,
    }
}

pub fn data(text: &'static str) -> AnswerStep {
    AnswerStep::Data(Bytes::from_static(text.as_bytes()))
}

pub fn event_script(steps: Vec<AnswerStep>) -> ServiceScript {
    ServiceScript::Answer { content_type: "text/event-stream", steps }
}

pub fn json_script(steps: Vec<AnswerStep>) -> ServiceScript {
    ServiceScript::Answer { content_type: "application/json", steps }
}

/// A chat call with more header lines, each ended by CRLF.
pub fn chat_call(more_headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer t\r\n\
         {more_headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub const CHAT_BODY: &str = r#"{"model":"m","messages":[],"stream":true}"#;

/// A caller that writes and reads bytes.
pub struct RawCaller {
    pub stream: TcpStream,
    pub seen: String,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(address).await.unwrap(), seen: String::new() }
    }

    pub async fn send(address: SocketAddr, text: &str) -> Self {
        let mut caller = Self::connect(address).await;
        caller.write(text).await;
        caller
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until all that was seen contains `text`; panics if the connection ends before.
    pub async fn read_until(&mut self, text: &str) -> &str {
        while !self.seen.contains(text) {
            assert!(self.read_some().await > 0, "ended after {:?}", self.seen);
        }
        &self.seen
    }

    /// Reads until the connection ends, in whatever way.
    pub async fn read_to_end(&mut self) -> &str {
        while self.read_some().await > 0 {}
        &self.seen
    }

    async fn read_some(&mut self) -> usize {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).await.unwrap_or(0);
        self.seen.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        count
    }
}
