//! Answers on their way to callers.

use bytes::{Bytes, BytesMut};
use catkin_backend::{AnswerHead, BackendError, BackendFault, BackendStream, ResumePoint};
use catkin_base::{CallRefusal, ClockTime, RefusalReason, RunVerdict, ServerId, SseScanner};
use catkin_caller::{AnswerCut, AnswerPart, AnswerStart, CallAnswer};
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
/// Largest answer that is collected before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// An answer on its way to its caller.
pub struct RouterAnswer<E: RouterEnvironment> {
    start: AnswerStart,
    body: AnswerBody<E>,
    _open: OpenCall,
}

enum AnswerBody<E: RouterEnvironment> {
    Whole(Bytes),
    Live(Box<LiveStream<E>>),
    Ended,
}

/// A stream that is passed on event by event.
struct LiveStream<E: RouterEnvironment> {
    runner: AttemptRunner<E>,
    open: OpenAttempt<E>,
    scanner: SseScanner,
    delivered: u64,
    timer: AnswerTimer,
}

/// A whole answer of a server.
pub(crate) struct WholeAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Bytes,
    /// The server that gave it, unless it was recorded.
    pub(crate) server: Option<ServerId>,
}

/// Measures the time to the first part and to the end of an answer.
pub(crate) struct AnswerTimer {
    class: String,
    team: String,
    began: ClockTime,
    first_seen: bool,
}

impl AnswerTimer {
    pub(crate) fn start(call: &CheckedCall, teams: usize, now: ClockTime) -> Self {
        Self {
            class: call.class_name.clone(),
            team: label_team(&call.team_name, teams),
            began: now,
            first_seen: false,
        }
    }

    pub(crate) fn note_part(&mut self, now: ClockTime) {
        if !self.first_seen {
            self.first_seen = true;
            self.record(FIRST_PART_SECONDS, now);
        }
    }

    pub(crate) fn note_end(&self, now: ClockTime) {
        self.record(ANSWER_SECONDS, now);
    }

    fn record(&self, name: &'static str, now: ClockTime) {
        let seconds = now.since(self.began).as_secs_f64();
        let (class, team) = (self.class.clone(), self.team.clone());
        metrics::histogram!(name, "class" => class, "team" => team).record(seconds);
    }
}

impl<E: RouterEnvironment> RouterAnswer<E> {
    /// An answer that is already whole.
    pub(crate) fn whole(
        answer: WholeAnswer,
        hint: Option<String>,
        replayed: bool,
        open: OpenCall,
    ) -> Self {
        let start = AnswerStart {
            status: answer.head.status,
            content_type: answer.head.content_type,
            hint,
            replayed,
        };
        Self { start, body: AnswerBody::Whole(answer.body), _open: open }
    }

    /// An answer that arrives as a stream of events.
    pub(crate) fn live(
        runner: AttemptRunner<E>,
        attempt: OpenAttempt<E>,
        timer: AnswerTimer,
        open: OpenCall,
    ) -> Self {
        let head = attempt.answer.stream.head();
        let hint = runner.state.hints.write(runner.call.team, attempt.grant.server());
        let start = AnswerStart {
            status: head.status,
            content_type: head.content_type.clone(),
            hint: Some(hint),
            replayed: false,
        };
        let scanner = SseScanner::new(MAX_EVENT_BYTES);
        let live = LiveStream { runner, open: attempt, scanner, delivered: 0, timer };
        Self { start, body: AnswerBody::Live(Box::new(live)), _open: open }
    }
}

impl<E: RouterEnvironment> CallAnswer for RouterAnswer<E> {
    fn start(&self) -> &AnswerStart {
        &self.start
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerCut> {
        match std::mem::replace(&mut self.body, AnswerBody::Ended) {
            AnswerBody::Whole(bytes) => Ok(AnswerPart::Data(bytes)),
            AnswerBody::Ended => Ok(AnswerPart::End),
            AnswerBody::Live(mut live) => match live.next_event().await {
                Ok(Some(bytes)) => {
                    self.body = AnswerBody::Live(live);
                    Ok(AnswerPart::Data(bytes))
                }
                Ok(None) => {
                    live.finish();
                    Ok(AnswerPart::End)
                }
                Err(refusal) => {
                    count_refusal(&live.runner.call.class_name, &refusal);
                    Err(AnswerCut { refusal })
                }
            },
        }
    }
}

impl<E: RouterEnvironment> LiveStream<E> {
    /// The next whole events; `None` after the end of the stream.
    async fn next_event(&mut self) -> Result<Option<Bytes>, CallRefusal> {
        loop {
            if self.scanner.is_done() {
                return Ok(None);
            }
            let streamed = self.open.answer.stream.head().streamed;
            let part = self.runner.next_part(&mut self.open.answer.stream).await;
            match part {
                Ok(Some(bytes)) if !streamed => return Ok(Some(bytes)),
                Ok(Some(bytes)) => {
                    if let Some(events) = self.scan(bytes)? {
                        return Ok(Some(events));
                    }
                }
                Ok(None) => return Ok(None),
                Err(error) => self.recover(error).await?,
            }
        }
    }

    fn scan(&mut self, bytes: Bytes) -> Result<Option<Bytes>, CallRefusal> {
        let whole = self.scanner.push(bytes).map_err(|error| {
            CallRefusal::not_run(RefusalReason::ServerFailed, error.to_string())
                .with_verdict(RunVerdict::HasRun)
        })?;
        if whole.is_some() {
            self.timer.note_part(self.runner.state.now());
        }
        Ok(whole)
    }

    /// Takes up the stream after a failure: elsewhere if nothing was passed on yet, else on the
    /// same server if that resumes streams.
    async fn recover(&mut self, error: BackendError) -> Result<(), CallRefusal> {
        let events = self.delivered + self.scanner.events();
        if events == 0 {
            return self.restart(error).await;
        }
        if self.resume(error.fault, events).await {
            return Ok(());
        }
        self.runner.note_loss(&mut self.open.grant, error);
        Err(self.refuse_rest(error.fault))
    }

    /// Takes up the stream on the same server; false if that can't be done.
    async fn resume(&mut self, fault: BackendFault, events: u64) -> bool {
        let server = self.open.grant.server();
        let resumes = self.runner.index.server(server).is_some_and(|entry| entry.resumes);
        if !resumes || fault != BackendFault::Broken || self.runner.is_late() {
            return false;
        }
        let point = ResumePoint { attempt: self.open.answer.attempt, events };
        let Ok(answer) = self.runner.send(server, Some(point)).await else { return false };
        self.open.answer = answer;
        self.delivered = events;
        self.scanner = SseScanner::new(MAX_EVENT_BYTES);
        true
    }

    async fn restart(&mut self, error: BackendError) -> Result<(), CallRefusal> {
        self.runner.note_failure(&mut self.open.grant, error)?;
        self.open = self.runner.start().await?;
        self.scanner = SseScanner::new(MAX_EVENT_BYTES);
        Ok(())
    }

    fn refuse_rest(&self, fault: BackendFault) -> CallRefusal {
        self.runner.refuse_failed(fault).with_verdict(RunVerdict::HasRun)
    }

    fn finish(mut self) {
        let tokens = self.delivered + self.scanner.events();
        self.timer.note_end(self.runner.state.now());
        count_completed(&self.runner.call);
        self.open.grant.finish(ReleaseOutcome::Done, u32::try_from(tokens).unwrap_or(u32::MAX));
    }
}

/// Reads an answer to its end.
pub(crate) async fn collect_answer<E: RouterEnvironment>(
    runner: &AttemptRunner<E>,
    open: &mut OpenAttempt<E>,
) -> Result<Bytes, BackendError> {
    let mut body = BytesMut::new();
    while let Some(part) = runner.next_part(&mut open.answer.stream).await? {
        if body.len() + part.len() > MAX_WHOLE_BYTES {
            return Err(TOO_LONG);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// The failure of an answer that is too long to be collected.
const TOO_LONG: BackendError =
    BackendError { fault: BackendFault::Failed, ran: RunVerdict::HasRun };

/// Runs a call until one server gave a whole answer.
pub(crate) async fn run_whole<E: RouterEnvironment>(
    runner: &mut AttemptRunner<E>,
) -> Result<WholeAnswer, CallRefusal> {
    loop {
        let mut open = runner.start().await?;
        match collect_answer(runner, &mut open).await {
            Ok(body) => return Ok(finish_whole(open, body)),
            Err(error) => runner.note_failure(&mut open.grant, error)?,
        }
    }
}

pub(crate) fn finish_whole<E: RouterEnvironment>(
    mut open: OpenAttempt<E>,
    body: Bytes,
) -> WholeAnswer {
    let answer = WholeAnswer {
        head: open.answer.stream.head().clone(),
        body,
        server: Some(open.grant.server()),
    };
    open.grant.finish(ReleaseOutcome::Done, 0);
    answer
}
