//! Forwards answers of backend servers to callers, and continues streams that break.

use bytes::{Bytes, BytesMut};
use catkin_backend::{AnswerHead, BackendError, BackendErrorKind, BackendStream, ResumePoint};
use catkin_base::{CallRefusal, ClockTime, RefusalReason, RunVerdict, ServerId, SseScanner};
use catkin_caller::{AnswerError, AnswerPart, AnswerStart, CallAnswer};
use catkin_policy::ReleaseOutcome;

use crate::attempts::{AttemptRunner, OpenAttempt};
use crate::checked_call::CheckedCall;
use crate::drain::OpenCall;
use crate::environment::RouterEnvironment;
use crate::metric::{
    ANSWER_SECONDS, FIRST_PART_SECONDS, count_completed, count_refusal, label_team,
};

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Largest answer that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Answer to one call, read part by part by the caller's connection.
pub struct RouterAnswer<E: RouterEnvironment> {
    start: AnswerStart,
    body: AnswerBody<E>,
    /// Keeps the call counted as open until the answer is dropped.
    _open_call: OpenCall,
}

/// Body of an answer, by what is still to be forwarded.
enum AnswerBody<E: RouterEnvironment> {
    Buffered(Bytes),
    Streamed(Box<StreamedAnswer<E>>),
    Ended,
}

/// An answer that is forwarded event by event.
struct StreamedAnswer<E: RouterEnvironment> {
    runner: AttemptRunner<E>,
    attempt: OpenAttempt<E>,
    scanner: SseScanner,
    /// Number of events forwarded before the stream was last resumed.
    delivered: u64,
    timer: AnswerTimer,
}

/// An answer that is complete before it is forwarded.
pub(crate) struct BufferedAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Bytes,
    /// Server that gave the answer; `None` if the answer comes from the platform's records.
    pub(crate) server: Option<ServerId>,
}

/// Records the time from a call to the first part and to the end of its answer.
pub(crate) struct AnswerTimer {
    class: String,
    team: String,
    began: ClockTime,
    first_seen: bool,
}

impl AnswerTimer {
    /// Starts at `now`; `teams` is the number of declared teams, on which the label depends.
    pub(crate) fn start(call: &CheckedCall, teams: usize, now: ClockTime) -> Self {
        Self {
            class: call.class_name.clone(),
            team: label_team(&call.team_name, teams),
            began: now,
            first_seen: false,
        }
    }

    /// Records the time to the first part; later parts change nothing.
    pub(crate) fn record_part(&mut self, now: ClockTime) {
        if !self.first_seen {
            self.first_seen = true;
            self.record_seconds(FIRST_PART_SECONDS, now);
        }
    }

    /// Records the time to the end of the answer.
    pub(crate) fn record_end(&self, now: ClockTime) {
        self.record_seconds(ANSWER_SECONDS, now);
    }

    fn record_seconds(&self, name: &'static str, now: ClockTime) {
        let seconds = now.since(self.began).as_secs_f64();
        let (class, team) = (self.class.clone(), self.team.clone());
        metrics::histogram!(name, "class" => class, "team" => team).record(seconds);
    }
}

impl<E: RouterEnvironment> RouterAnswer<E> {
    /// An answer that is already complete.
    pub(crate) fn from_buffered(
        answer: BufferedAnswer,
        hint: Option<String>,
        replayed: bool,
        open_call: OpenCall,
    ) -> Self {
        let start = AnswerStart {
            status: answer.head.status,
            content_type: answer.head.content_type,
            hint,
            replayed,
        };
        Self { start, body: AnswerBody::Buffered(answer.body), _open_call: open_call }
    }

    /// An answer whose events are forwarded as the server of `attempt` sends them.
    pub(crate) fn from_stream(
        runner: AttemptRunner<E>,
        attempt: OpenAttempt<E>,
        timer: AnswerTimer,
        open_call: OpenCall,
    ) -> Self {
        let head = attempt.answer.stream.head();
        let hint = runner.state.hints.sign_hint(runner.call.team, attempt.grant.server());
        let start = AnswerStart {
            status: head.status,
            content_type: head.content_type.clone(),
            hint: Some(hint),
            replayed: false,
        };
        let scanner = SseScanner::new(MAX_EVENT_BYTES);
        let answer = StreamedAnswer { runner, attempt, scanner, delivered: 0, timer };
        Self { start, body: AnswerBody::Streamed(Box::new(answer)), _open_call: open_call }
    }
}

impl<E: RouterEnvironment> CallAnswer for RouterAnswer<E> {
    fn start(&self) -> &AnswerStart {
        &self.start
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        match std::mem::replace(&mut self.body, AnswerBody::Ended) {
            AnswerBody::Buffered(bytes) => Ok(AnswerPart::Data(bytes)),
            AnswerBody::Ended => Ok(AnswerPart::End),
            AnswerBody::Streamed(mut answer) => match answer.next_event().await {
                Ok(Some(bytes)) => {
                    self.body = AnswerBody::Streamed(answer);
                    Ok(AnswerPart::Data(bytes))
                }
                Ok(None) => {
                    answer.finish();
                    Ok(AnswerPart::End)
                }
                Err(refusal) => {
                    count_refusal(&answer.runner.call.class_name, &refusal);
                    Err(AnswerError { refusal })
                }
            },
        }
    }
}

impl<E: RouterEnvironment> StreamedAnswer<E> {
    /// The next complete events; `None` after the end of the stream.
    ///
    /// An answer that is not an event stream, such as an error in JSON, is forwarded as it arrives.
    async fn next_event(&mut self) -> Result<Option<Bytes>, CallRefusal> {
        loop {
            if self.scanner.is_done() {
                return Ok(None);
            }
            let streamed = self.attempt.answer.stream.head().streamed;
            let part = self.runner.read_part(&mut self.attempt.answer.stream).await;
            match part {
                Ok(Some(bytes)) if !streamed => return Ok(Some(bytes)),
                Ok(Some(bytes)) => {
                    if let Some(events) = self.scan_events(bytes)? {
                        return Ok(Some(events));
                    }
                }
                Ok(None) => return Ok(None),
                Err(error) => self.recover_stream(error).await?,
            }
        }
    }

    /// Feeds the scanner and returns the events that are now complete, if any.
    fn scan_events(&mut self, bytes: Bytes) -> Result<Option<Bytes>, CallRefusal> {
        let complete = self.scanner.push(bytes).map_err(|error| {
            CallRefusal::not_run(RefusalReason::ServerFailed, error.to_string())
                .with_verdict(RunVerdict::HasRun)
        })?;
        if complete.is_some() {
            self.timer.record_part(self.runner.state.now());
        }
        Ok(complete)
    }

    /// Continues after a failed read. If the caller has no event yet, the call is sent to another
    /// server; else the stream is resumed on the same server, if that server supports it.
    async fn recover_stream(&mut self, error: BackendError) -> Result<(), CallRefusal> {
        let events = self.delivered + self.scanner.events();
        if events == 0 {
            return self.restart_call(error).await;
        }
        if self.resume_stream(error.kind, events).await {
            return Ok(());
        }
        self.runner.record_failure(&mut self.attempt.grant, error);
        Err(self.refuse_rest(error.kind))
    }

    /// Resumes the stream after `events` on the same server. Returns false if the server does not
    /// resume streams, the failure is not a broken connection, or the deadline has passed.
    async fn resume_stream(&mut self, kind: BackendErrorKind, events: u64) -> bool {
        let server = self.attempt.grant.server();
        let resumes = self.runner.index.server(server).is_some_and(|entry| entry.resumes);
        if !resumes || kind != BackendErrorKind::Broken || self.runner.is_past_deadline() {
            return false;
        }
        let point = ResumePoint { attempt: self.attempt.answer.attempt_id, events };
        let Ok(answer) = self.runner.send_attempt(server, Some(point)).await else { return false };
        self.attempt.answer = answer;
        self.delivered = events;
        self.scanner = SseScanner::new(MAX_EVENT_BYTES);
        true
    }

    /// Records the failure and sends the call to another server. Only called before the first event
    /// was forwarded.
    async fn restart_call(&mut self, error: BackendError) -> Result<(), CallRefusal> {
        self.runner.handle_failure(&mut self.attempt.grant, error)?;
        self.attempt = self.runner.start_attempt().await?;
        self.scanner = SseScanner::new(MAX_EVENT_BYTES);
        Ok(())
    }

    /// The refusal that ends a stream of which the caller already has a part.
    fn refuse_rest(&self, kind: BackendErrorKind) -> CallRefusal {
        self.runner.refuse_failure(kind).with_verdict(RunVerdict::HasRun)
    }

    /// Records the end of the stream and releases its grant.
    fn finish(mut self) {
        let tokens = self.delivered + self.scanner.events();
        self.timer.record_end(self.runner.state.now());
        count_completed(&self.runner.call);
        self.attempt.grant.finish(ReleaseOutcome::Done, u32::try_from(tokens).unwrap_or(u32::MAX));
    }
}

/// Reads an answer's body to its end, up to [`MAX_BUFFERED_BYTES`].
pub(crate) async fn collect_body<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    attempt: &mut OpenAttempt<E>,
) -> Result<Bytes, BackendError> {
    let mut body = BytesMut::new();
    while let Some(part) = runner.read_part(&mut attempt.answer.stream).await? {
        if body.len() + part.len() > MAX_BUFFERED_BYTES {
            return Err(TOO_LONG_ERROR);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Error of an answer that exceeds [`MAX_BUFFERED_BYTES`].
const TOO_LONG_ERROR: BackendError =
    BackendError { kind: BackendErrorKind::Failed, ran: RunVerdict::HasRun };

/// Runs attempts of a call until one server has given a complete answer.
pub(crate) async fn run_buffered<E: RouterEnvironment>(
    runner: &mut AttemptRunner<E>,
) -> Result<BufferedAnswer, CallRefusal> {
    loop {
        let mut attempt = runner.start_attempt().await?;
        match collect_body(runner, &mut attempt).await {
            Ok(body) => return Ok(finish_buffered(attempt, body)),
            Err(error) => runner.handle_failure(&mut attempt.grant, error)?,
        }
    }
}

/// Releases the grant of an attempt whose answer was read to its end, and returns the answer.
pub(crate) fn finish_buffered<E: RouterEnvironment>(
    mut attempt: OpenAttempt<E>,
    body: Bytes,
) -> BufferedAnswer {
    let answer = BufferedAnswer {
        head: attempt.answer.stream.head().clone(),
        body,
        server: Some(attempt.grant.server()),
    };
    attempt.grant.finish(ReleaseOutcome::Done, 0);
    answer
}
