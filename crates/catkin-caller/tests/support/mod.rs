//! Test fixtures: a scripted service, and a caller that reads and writes raw bytes.
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

/// How the scripted service handles a call.
#[derive(Clone)]
pub enum ServiceScript {
    /// Refuses the call.
    Refuse(CallRefusal),
    /// Never returns an answer.
    HangBeforeHead,
    /// Answers with these steps.
    Answer { content_type: &'static str, steps: Vec<AnswerStep> },
}

/// One step of a scripted answer.
#[derive(Clone)]
pub enum AnswerStep {
    Data(Bytes),
    /// Waits for a signal of the test.
    AwaitSignal,
    /// Never returns.
    Hang,
    /// Fails, so that the answer is truncated.
    Fail,
    End,
}

/// Service that follows a script and reports its calls, and the end of each call, to the test.
pub struct ScriptedService {
    script: ServiceScript,
    calls: flume::Sender<CallRequest>,
    drops: flume::Sender<()>,
    signals: flume::Receiver<()>,
}

/// Scripted answer; its drop is reported to the test.
pub struct ScriptedAnswer {
    start: AnswerStart,
    steps: std::vec::IntoIter<AnswerStep>,
    signals: flume::Receiver<()>,
    _reporter: DropReporter,
}

struct DropReporter(flume::Sender<()>);

impl Drop for DropReporter {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl CallService for ScriptedService {
    type Answer = ScriptedAnswer;

    async fn call(&self, request: CallRequest) -> Result<ScriptedAnswer, CallRefusal> {
        let reporter = DropReporter(self.drops.clone());
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
                signals: self.signals.clone(),
                _reporter: reporter,
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
                Some(AnswerStep::AwaitSignal) => self.signals.recv_async().await.unwrap(),
                Some(AnswerStep::Hang) => std::future::pending().await,
                Some(AnswerStep::Fail) => return Err(build_server_error()),
                Some(AnswerStep::End) | None => return Ok(AnswerPart::End),
            }
        }
    }
}

fn build_server_error() -> AnswerError {
    let refusal = CallRefusal::not_run(RefusalReason::ServerFailed, "the server failed")
        .with_verdict(RunVerdict::HasRun);
    AnswerError { refusal }
}

/// Running listener, with the channels of its scripted service.
pub struct RunningListener {
    pub address: SocketAddr,
    pub shutdown: CallerShutdown,
    pub serving: JoinHandle<()>,
    pub calls: flume::Receiver<CallRequest>,
    pub drops: flume::Receiver<()>,
    pub signals: flume::Sender<()>,
}

pub async fn start_listener(script: ServiceScript, limits: CallerLimits) -> RunningListener {
    let (call_sender, calls) = flume::unbounded();
    let (drop_sender, drops) = flume::unbounded();
    let (signals, signal_receiver) = flume::unbounded();
    let service = ScriptedService {
        script,
        calls: call_sender,
        drops: drop_sender,
        signals: signal_receiver,
    };
    let address = ([127, 0, 0, 1], 0).into();
    let ids = RequestIds::from_seed(7);
    let listener = CallerListener::bind(address, limits, ids, Arc::new(service)).await.unwrap();
    RunningListener {
        address: listener.local_address().unwrap(),
        shutdown: listener.shutdown_handle(),
        serving: tokio::spawn(listener.serve()),
        calls,
        drops,
        signals,
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

/// Builds a chat call with more header lines, each of which ends with CRLF.
pub fn chat_call(more_headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer t\r\n\
         {more_headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub const CHAT_BODY: &str = r#"{"model":"m","messages":[],"stream":true}"#;

/// Caller that writes and reads raw bytes.
pub struct RawCaller {
    pub stream: TcpStream,
    pub received: String,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(address).await.unwrap(), received: String::new() }
    }

    pub async fn send(address: SocketAddr, text: &str) -> Self {
        let mut caller = Self::connect(address).await;
        caller.write(text).await;
        caller
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the received text contains `text`. Panics if the connection ends before.
    pub async fn read_until(&mut self, text: &str) -> &str {
        while !self.received.contains(text) {
            assert!(self.read_available().await > 0, "ended after {:?}", self.received);
        }
        &self.received
    }

    /// Reads until the connection is closed or fails.
    pub async fn read_to_end(&mut self) -> &str {
        while self.read_available().await > 0 {}
        &self.received
    }

    async fn read_available(&mut self) -> usize {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).await.unwrap_or(0);
        self.received.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        count
    }
}
