//! Forwards a server's answer to the caller. A resumable stream may continue from another server.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{PartKey, ServerId};
use catkin_http::{EventError, EventSplitter, HeaderField, ResponseHead};
use tokio::time::{Instant, timeout_at};

use crate::answer_end::{EndFault, UnframedEnd, find_end_fault};
use crate::attempt::{AttemptError, AttemptFailure, StartedAnswer};
use crate::buffer_budget::BufferShare;
use crate::call::{EntryCall, is_connection_field, write_field};
use crate::call_relay::{REFUSED_FIELD, SERVER_FIELD};
use crate::caller::CallerWriter;
use crate::connection::ExchangeFailure;
use crate::crash_check::check_after_end;
use crate::origin_book::{SoftwareKey, StreamKey};
use crate::origin_exchange::record_new_stream;
use crate::record::RouteKind;
use crate::state::{EntryState, OpenSlot};
use crate::wire::EntryWire;

/// Maximum size of an answer that is read completely before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum size of an answer that is no stream, in bytes. A server in trouble may send one without
/// end.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum size of an event in a stream, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Maximum size of a part of an answer that is copied behind the bytes before it, in bytes.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// Number of events of a stream that one measurement of their pace spans.
const PACED_EVENTS: usize = 8;

/// Time for which events of a stream arrive before it counts as an answer that does not crash the
/// server.
const ANSWERED_TIME: Duration = Duration::from_millis(300);

/// How forwarding one server's answer ended.
pub(crate) enum ForwardEnd {
    /// The caller has the complete answer.
    Complete {
        /// Status of the answer.
        status: u16,
    },
    /// Reading the server's answer failed.
    Failed(AttemptError),
}

/// A complete answer, of which the caller has nothing yet.
pub(crate) struct ReadyAnswer {
    head: ResponseHead,
    body: Vec<u8>,
}

/// How far an answer was forwarded.
pub(crate) enum ForwardStep {
    /// It is complete; [`AnswerForwarder::write_ready`] writes it.
    Ready(ReadyAnswer),
    /// Forwarding it has ended.
    Ended(ForwardEnd),
}

/// Forwards the answer to one request, from one or several servers in turn.
pub(crate) struct AnswerForwarder {
    /// Memory of the part of the answer that is kept.
    share: BufferShare,
    service: String,
    streaming: bool,
    to_head_request: bool,
    /// Deadline of the request.
    deadline: Instant,
    /// Whether another router passed the request on.
    for_router: bool,
    /// The server of the current answer, if it is named to another router.
    named_server: Option<ServerId>,
    splitter: EventSplitter,
    /// When the last events of the stream arrived.
    last_events: Option<Instant>,
    /// Times between events since the last measurement of their pace.
    event_gaps: Vec<Duration>,
    /// Key of the stream, if it begins with this request.
    new_stream: Option<StreamKey>,
    /// Software version of the server that sent the first event of this answer.
    software: Option<SoftwareKey>,
    /// When the first events of the current attempt arrived.
    first_events: Option<Instant>,
    /// Whether the current attempt has sent events for [`ANSWERED_TIME`].
    answered: bool,
    /// Parts of the request's prompt.
    parts: Vec<PartKey>,
    /// Head of the first answer, once it was written to the caller.
    head: Option<ResponseHead>,
}

impl AnswerForwarder {
    pub(crate) fn new<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> Self {
        Self {
            share: BufferShare::new(&state.answer_budget),
            service: call.service.clone(),
            streaming: call.route.kind == RouteKind::Streaming,
            to_head_request: call.is_head(),
            deadline: call.deadline,
            for_router: call.forwarded_attempts.is_some(),
            named_server: None,
            splitter: EventSplitter::new(MAX_EVENT_BYTES, call.last_event::<W>()),
            last_events: None,
            event_gaps: Vec::new(),
            new_stream: (!call.is_resumed()).then(|| StreamKey::from_request(&call.id)),
            software: None,
            first_events: None,
            answered: false,
            parts: call.part_keys(),
            head: None,
        }
    }

    /// Whether the caller already has a part of the answer.
    pub(crate) fn is_started(&self) -> bool {
        self.head.is_some()
    }

    /// Software version of the server that sent the first event of this answer; no other version
    /// can continue the stream.
    pub(crate) fn software(&self) -> Option<SoftwareKey> {
        self.software
    }

    /// Prepares for an attempt at another server.
    pub(crate) fn begin_attempt(&mut self) {
        self.first_events = None;
        self.answered = false;
    }

    /// Whether the current attempt has sent events for so long that it will not crash the server.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered
    }

    /// When the first events of the current attempt arrived.
    pub(crate) fn first_events(&self) -> Option<Instant> {
        self.first_events
    }

    /// Identifier of the last event that the caller has.
    pub(crate) fn last_event(&self) -> Option<&Bytes> {
        self.head.as_ref().and_then(|_| self.splitter.last_id())
    }

    /// Forwards an answer as it arrives, or reads it completely if it is short enough. The first events of a
    /// stream must arrive before `answer_deadline`. The outer error is a failed write to the caller.
    pub(crate) async fn forward<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        mut answer: StartedAnswer<W>,
        writer: &mut CallerWriter,
        answer_deadline: Instant,
    ) -> io::Result<ForwardStep> {
        let success = (200..300).contains(&answer.head.status);
        if let Some(first) = &self.head
            && !continues_answer(first, &answer.head)
        {
            log::info!(
                "server: answered a request to go on with a stream by something else; it counts as \
                 broken off. server={:?} status={}",
                answer.slot.as_ref().map(|slot| slot.server),
                answer.head.status
            );
            return Ok(ForwardStep::Ended(ForwardEnd::Failed(AttemptError::BROKEN)));
        }
        self.named_server =
            answer.slot.as_ref().map(|slot| slot.server).filter(|_| self.for_router);
        if let Some(slot) = answer.slot.as_mut().filter(|_| !self.streaming && success) {
            slot.record_start(&self.service);
            slot.record_pace(&self.service, slot.elapsed());
        }
        let has_body = !self.to_head_request && !matches!(answer.head.status, 204 | 205 | 304);
        if self.streaming && success && has_body {
            self.last_events = None;
            // Whatever the answer before left behind is no part of this one.
            self.splitter.discard_pending();
            let end = self.forward_stream(state, answer, writer, answer_deadline).await?;
            Ok(ForwardStep::Ended(end))
        } else {
            self.read_or_forward(state, answer, writer).await
        }
    }

    /// Forwards an event stream in complete events, so that another server can continue it.
    async fn forward_stream<W: EntryWire>(
        &mut self,
        state: &EntryState<W>,
        mut answer: StartedAnswer<W>,
        writer: &mut CallerWriter,
        answer_deadline: Instant,
    ) -> io::Result<ForwardEnd> {
        let status = answer.head.status;
        let mut awaits_first = !self.is_started();
        let mut has_events = false;
        loop {
            let next = answer.connection.get().next_bytes();
            let read = if awaits_first {
                timeout_at(answer_deadline, next).await.unwrap_or(Err(ExchangeFailure::TimedOut))
            } else {
                next.await
            };
            match read {
                Ok(Some(bytes)) => self.splitter.push(&bytes),
                Ok(None) => {
                    // A stream that goes on may have no event left, but none begins without one.
                    let failure = if awaits_first && self.new_stream.is_some() {
                        log_empty_stream(&answer);
                        Some(ExchangeFailure::Garbled)
                    } else {
                        self.find_end_failure(state, &mut answer, has_events).await
                    };
                    if let Some(failure) = failure {
                        return Ok(ForwardEnd::Failed(AttemptError::of_answer(failure)));
                    }
                    return self.end_stream(answer, writer, status).await;
                }
                Err(failure) => return Ok(ForwardEnd::Failed(AttemptError::of_answer(failure))),
            }
            loop {
                let events = match self.splitter.take_events() {
                    Ok(Some(events)) => events,
                    Ok(None) => break,
                    Err(error) => {
                        log_malformed(&answer, &self.splitter, error);
                        let failure = ExchangeFailure::Garbled;
                        return Ok(ForwardEnd::Failed(AttemptError::of_answer(failure)));
                    }
                };
                awaits_first = false;
                has_events = true;
                self.record_answered(state);
                if let Some(software) = answer.software {
                    self.record_origin(state, software);
                }
                if let Some(slot) = &mut answer.slot {
                    slot.record_start(&self.service);
                    self.measure_pace(slot, &events);
                    slot.mark_prefilled();
                }
                self.write_part(&answer.head, &events, writer).await?;
            }
            if !self.share.try_resize(self.splitter.capacity()) {
                log_no_memory(&answer, self.splitter.pending_bytes());
                return Ok(ForwardEnd::Failed(AttemptError::of_answer(ExchangeFailure::Garbled)));
            }
        }
    }

    /// Records that events arrived. Once they have arrived for [`ANSWERED_TIME`], the parts of the
    /// prompt count as sound.
    fn record_answered<W: EntryWire>(&mut self, state: &EntryState<W>) {
        let first = *self.first_events.get_or_insert_with(Instant::now);
        if !self.answered && first.elapsed() >= ANSWERED_TIME {
            self.answered = true;
            state.record_part_answer(&self.parts);
        }
    }

    /// Records the version that sends the first event and tells it to other routers, before the caller gets it.
    fn record_origin<W: EntryWire>(&mut self, state: &EntryState<W>, software: SoftwareKey) {
        if self.software.replace(software).is_some() {
            return;
        }
        if let Some(key) = self.new_stream {
            record_new_stream(state, key, software);
        }
    }

    /// Measures the times between the events of a stream, and records their pace once there are
    /// enough of them.
    fn measure_pace<W: EntryWire>(&mut self, slot: &OpenSlot<W>, events: &[u8]) {
        let count = events.windows(2).filter(|bytes| bytes == b"\n\n").count();
        let now = Instant::now();
        if let Some(before) = self.last_events.replace(now) {
            let gap = (now - before) / count.max(1) as u32;
            self.event_gaps.extend(std::iter::repeat_n(gap, count));
        }
        if self.event_gaps.len() >= PACED_EVENTS {
            slot.record_pace(&self.service, drain_median(&mut self.event_gaps));
        }
    }

    /// Finds out why a complete answer counts as failed although its connection ended in order; `None` if it
    /// doesn't. Checks whether the server runs, if the answer states neither a length nor chunks.
    async fn find_end_failure<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        answer: &mut StartedAnswer<W>,
        has_body: bool,
    ) -> Option<ExchangeFailure> {
        let status = answer.head.status;
        // A reset content has no body, and may end so.
        if status == 205 || !answer.connection.get().is_unframed() {
            return None;
        }
        let server = answer.slot.as_ref().map(|slot| slot.server);
        let needs_body = (200..300).contains(&status);
        let check = match server.filter(|_| has_body || !needs_body) {
            Some(server) => check_after_end(state, server, self.deadline).await,
            None => None,
        };
        let is_leaving =
            server.is_some_and(|server| !state.servers.borrow().may_get_requests(server));
        let fault = find_end_fault(&UnframedEnd { needs_body, has_body, is_leaving, check })?;
        log::info!(
            "server: answer with neither a length nor chunks ended with its connection; it counts as \
             broken off. server={server:?} cause={fault:?}"
        );
        metrics::counter!("catkin_entry_unframed_breaks_total").increment(1);
        Some(match fault {
            EndFault::Empty => ExchangeFailure::Garbled,
            EndFault::ServerEnded => ExchangeFailure::Broken,
        })
    }

    /// Ends the answer to the caller, and releases the connection. A stream that ends inside an event has
    /// failed, whatever its framing says.
    async fn end_stream<W: EntryWire>(
        &mut self,
        answer: StartedAnswer<W>,
        writer: &mut CallerWriter,
        status: u16,
    ) -> io::Result<ForwardEnd> {
        let pending_bytes = self.splitter.pending_bytes();
        if pending_bytes > 0 {
            log::info!(
                "server: stream ended inside an event; it counts as broken off. server={:?} \
                 bytes={pending_bytes}",
                answer.slot.as_ref().map(|slot| slot.server)
            );
            return Ok(ForwardEnd::Failed(AttemptError::BROKEN));
        }
        self.write_part(&answer.head, &[], writer).await?;
        if writer.chunks {
            writer.write(b"0\r\n\r\n").await?;
        } else {
            writer.end_unframed();
        }
        let StartedAnswer { head, connection, slot, .. } = answer;
        connection.release(head.fields.text("keep-alive"));
        drop(slot);
        Ok(ForwardEnd::Complete { status })
    }

    /// Writes complete events, or the next part of another body, preceded by the head of the first server's
    /// answer if it was not written yet.
    async fn write_part(
        &mut self,
        head: &ResponseHead,
        part: &[u8],
        writer: &mut CallerWriter,
    ) -> io::Result<()> {
        let mut text = Vec::with_capacity(part.len().min(MAX_COPIED_BYTES) + 512);
        if self.head.is_none() {
            if !writer.chunks {
                writer.begin_unframed();
            }
            write_head(&mut text, head, self.named_server, writer);
            let framing: &[u8] =
                if writer.chunks { b"Transfer-Encoding: chunked\r\n" } else { b"" };
            text.extend_from_slice(framing);
            text.extend_from_slice(b"\r\n");
            self.head = Some(head.clone());
        }
        if part.is_empty() {
            return writer.write(&text).await;
        }
        let (size, end): (String, &[u8]) = match writer.chunks {
            true => (format!("{:x}\r\n", part.len()), b"\r\n"),
            false => (String::new(), b""),
        };
        text.extend_from_slice(size.as_bytes());
        write_framed(writer, text, part, end).await
    }

    /// Reads an answer completely and releases the connection and the slot. Forwards one that is too long for
    /// that as it arrives.
    async fn read_or_forward<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        mut answer: StartedAnswer<W>,
        writer: &mut CallerWriter,
    ) -> io::Result<ForwardStep> {
        let fail =
            |failure| Ok(ForwardStep::Ended(ForwardEnd::Failed(AttemptError::of_answer(failure))));
        let mut body = Vec::new();
        loop {
            match answer.connection.get().next_bytes().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(failure) => return fail(failure),
            }
            let has_memory = self.share.try_resize(body.capacity());
            if body.len() <= MAX_BUFFERED_BYTES && has_memory {
                continue;
            }
            if !has_memory {
                log_no_memory(&answer, body.len());
            }
            if !(200..300).contains(&answer.head.status) {
                return fail(ExchangeFailure::Garbled);
            }
            let end = self.forward_unbuffered(state, answer, body, writer).await?;
            return Ok(ForwardStep::Ended(end));
        }
        if let Some(failure) = self.find_end_failure(state, &mut answer, !body.is_empty()).await {
            return fail(failure);
        }
        let StartedAnswer { head, connection, slot, .. } = answer;
        connection.release(head.fields.text("keep-alive"));
        drop(slot);
        state.selection_input_change.notify_one();
        Ok(ForwardStep::Ready(ReadyAnswer { head, body }))
    }

    /// Writes a complete answer.
    pub(crate) async fn write_ready(
        &mut self,
        ready: ReadyAnswer,
        writer: &mut CallerWriter,
    ) -> io::Result<ForwardEnd> {
        let ReadyAnswer { head, body } = ready;
        let mut text = Vec::with_capacity(body.len().min(MAX_COPIED_BYTES) + 512);
        write_head(&mut text, &head, self.named_server, writer);
        let length = match self.to_head_request {
            true => head.fields.values("content-length").next().map(<[u8]>::to_vec),
            false => Some(body.len().to_string().into_bytes()),
        };
        if let Some(length) = length.filter(|_| head.status != 204 && head.status != 304) {
            write_field(&mut text, b"Content-Length", &length);
        }
        text.extend_from_slice(b"\r\n");
        write_framed(writer, text, &body, b"").await?;
        Ok(ForwardEnd::Complete { status: head.status })
    }

    /// Forwards an answer that is too long to be buffered.
    async fn forward_unbuffered<W: EntryWire>(
        &mut self,
        state: &EntryState<W>,
        mut answer: StartedAnswer<W>,
        first: Vec<u8>,
        writer: &mut CallerWriter,
    ) -> io::Result<ForwardEnd> {
        let status = answer.head.status;
        self.write_part(&answer.head.clone(), &first, writer).await?;
        let mut length = first.len();
        drop(first);
        self.share.try_resize(0);
        // The caller has a part of this answer; another server's answer can't replace it.
        let cut_off = |failure| {
            let ran = catkin_base::RunVerdict::HasRun;
            Ok(ForwardEnd::Failed(AttemptError { failure, ran }))
        };
        loop {
            match answer.connection.get().next_bytes().await {
                Ok(Some(bytes)) => {
                    length += bytes.len();
                    if length > MAX_ANSWER_BYTES {
                        return cut_off(AttemptFailure::Garbled);
                    }
                    self.write_part(&answer.head, &bytes, writer).await?;
                }
                Ok(None) => {
                    let failure = self.find_end_failure(state, &mut answer, true).await;
                    if failure.is_some() {
                        return cut_off(AttemptFailure::Broken);
                    }
                    return self.end_stream(answer, writer, status).await;
                }
                Err(_) => return cut_off(AttemptFailure::Broken),
            }
        }
    }
}

/// Logs that a stream has no event.
fn log_empty_stream<W: EntryWire>(answer: &StartedAnswer<W>) {
    log::info!(
        "server: stream ended before its first event; it counts as broken off. server={:?}",
        answer.slot.as_ref().map(|slot| slot.server)
    );
}

/// Whether the body of an answer can follow that of the `first` one, whose head the caller has.
fn continues_answer(first: &ResponseHead, next: &ResponseHead) -> bool {
    next.status == first.status && read_media_type(next) == read_media_type(first)
}

/// The media type of an answer without its parameters, in lower case.
fn read_media_type(head: &ResponseHead) -> Option<String> {
    let stated = head.fields.text("content-type")?;
    let essence = stated.split_once(';').map_or(stated, |(essence, _)| essence);
    Some(essence.trim().to_ascii_lowercase())
}

/// Logs that a server sent something else than the next event of its stream.
fn log_malformed<W: EntryWire>(
    answer: &StartedAnswer<W>,
    splitter: &EventSplitter,
    error: EventError,
) {
    log::info!(
        "server: sent bytes that are not the next event of its stream; it counts as broken off there. \
         server={:?} last_event={} error={error}",
        answer.slot.as_ref().map(|slot| slot.server),
        splitter.last_id().map_or("-".into(), |id| String::from_utf8_lossy(id))
    );
    metrics::counter!("catkin_entry_malformed_streams_total").increment(1);
}

/// Writes the status line and the end-to-end header fields. `named_server` is named in a field of this
/// connection only, so that a router that does not know the field removes it.
fn write_head(
    text: &mut Vec<u8>,
    head: &ResponseHead,
    named_server: Option<ServerId>,
    writer: &CallerWriter,
) {
    text.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    text.extend_from_slice(&head.reason);
    text.extend_from_slice(b"\r\n");
    let is_passed = |field: &&HeaderField| {
        !is_connection_field(&head.fields, field)
            && (named_server.is_none() || !is_router_field(field))
    };
    for field in head.fields.iter().filter(is_passed) {
        write_field(text, &field.name, &field.value);
    }
    if let Some(server) = named_server {
        write_field(text, b"Connection", SERVER_FIELD.as_bytes());
        write_field(text, SERVER_FIELD.as_bytes(), format!("{:016x}", server.0).as_bytes());
    }
    if writer.closing {
        write_field(text, b"Connection", b"close");
    }
}

/// Whether routers alone send a field to one another.
fn is_router_field(field: &HeaderField) -> bool {
    field.has_name(SERVER_FIELD) || field.has_name(REFUSED_FIELD)
}

/// Writes a part of a message between what precedes and follows it: in one piece if it is small, else without a
/// second copy of it.
async fn write_framed(
    writer: &mut CallerWriter,
    mut before: Vec<u8>,
    part: &[u8],
    after: &[u8],
) -> io::Result<()> {
    if part.len() > MAX_COPIED_BYTES {
        writer.write(&before).await?;
        writer.write(part).await?;
        return writer.write(after).await;
    }
    before.extend_from_slice(part);
    before.extend_from_slice(after);
    writer.write(&before).await
}

/// Logs that an answer can't be kept until it is complete.
fn log_no_memory<W: EntryWire>(answer: &StartedAnswer<W>, bytes: usize) {
    log::info!(
        "server: sent much of an answer, and the memory for incomplete answers is in use; not kept. \
         server={:?} bytes={bytes}",
        answer.slot.as_ref().map(|slot| slot.server)
    );
    metrics::counter!("catkin_entry_unkept_answers_total").increment(1);
}

/// Removes the gaps and returns their median. The prefill of another prompt delays single events of
/// a stream, so their mean would make an ordinary server look slow.
fn drain_median(gaps: &mut Vec<Duration>) -> Duration {
    gaps.sort_unstable();
    let median = gaps[gaps.len() / 2];
    gaps.clear();
    median
}
