//! Passes a server's answer on to the caller, over several servers where a stream may go on.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use catkin_http::{EventCutter, ResponseHead};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{AttemptError, AttemptFault, BegunAnswer};
use crate::call::{EntryCall, is_connection_field, write_field};
use crate::caller::CallerWriter;
use crate::channel::ExchangeFault;
use crate::record::RouteKind;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Answers up to this size are whole before their first byte is passed on, in bytes.
const WHOLE_BYTES: usize = 256 << 10;
/// Longest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// How the passing on of one server's answer ended.
pub(crate) enum RelayEnd {
    /// The caller has the whole answer.
    Whole {
        /// Its status.
        status: u16,
    },
    /// The server's answer broke off.
    Failed(AttemptError),
}

/// The answer to one request on its way to the caller.
pub(crate) struct AnswerRelay {
    streaming: bool,
    to_head: bool,
    cutter: EventCutter,
    /// Set once the caller has the head.
    head: Option<ResponseHead>,
}

impl AnswerRelay {
    pub(crate) fn new(call: &EntryCall) -> Self {
        Self {
            streaming: call.route.kind == RouteKind::Streaming,
            to_head: call.is_head(),
            cutter: EventCutter::new(MAX_EVENT_BYTES),
            head: None,
        }
    }

    /// Whether the caller already has a part of the answer.
    pub(crate) fn is_begun(&self) -> bool {
        self.head.is_some()
    }

    /// The last event that the caller has.
    pub(crate) fn last_event(&self) -> Option<&Bytes> {
        self.head.as_ref().and_then(|_| self.cutter.last_id())
    }

    /// Passes an answer on. Fails if the caller can't be written to.
    pub(crate) async fn pass<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        begun: BegunAnswer<W>,
        writer: &mut CallerWriter,
        patience: Instant,
    ) -> io::Result<RelayEnd> {
        let success = (200..300).contains(&begun.head.status);
        if self.is_begun() && !success {
            return Ok(RelayEnd::Failed(AttemptError::BROKEN));
        }
        if self.streaming && success {
            self.pass_stream(begun, writer, patience).await
        } else {
            self.pass_plain(state, begun, writer).await
        }
    }

    async fn pass_stream<W: EntryWire>(
        &mut self,
        mut begun: BegunAnswer<W>,
        writer: &mut CallerWriter,
        patience: Instant,
    ) -> io::Result<RelayEnd> {
        let status = begun.head.status;
        let mut waits = !self.is_begun();
        loop {
            let next = begun.channel.get().next_piece();
            let piece = if waits {
                timeout_at(patience, next).await.unwrap_or(Err(ExchangeFault::TimedOut))
            } else {
                next.await
            };
            let events = match piece {
                Ok(Some(bytes)) => self.cutter.push(&bytes),
                Ok(None) => return self.end_stream(begun, writer, status).await,
                Err(fault) => {
                    self.cutter.drop_torn();
                    return Ok(RelayEnd::Failed(AttemptError::of_answer(fault)));
                }
            };
            let Ok(events) = events else {
                return Ok(RelayEnd::Failed(AttemptError::of_answer(ExchangeFault::Garbled)));
            };
            if let Some(events) = events {
                waits = false;
                begun.place.mark_prompt_read();
                self.write_events(&begun.head, &events, writer).await?;
            }
        }
    }

    async fn end_stream<W: EntryWire>(
        &mut self,
        begun: BegunAnswer<W>,
        writer: &mut CallerWriter,
        status: u16,
    ) -> io::Result<RelayEnd> {
        let rest = self.cutter.take_rest();
        self.write_events(&begun.head, &rest, writer).await?;
        if writer.chunks {
            writer.write(b"0\r\n\r\n").await?;
        }
        let BegunAnswer { head, channel, place } = begun;
        channel.give_back(head.fields.text("keep-alive"));
        drop(place);
        Ok(RelayEnd::Whole { status })
    }

    /// Writes whole events, behind the head of the first server's answer.
    async fn write_events(
        &mut self,
        head: &ResponseHead,
        events: &[u8],
        writer: &mut CallerWriter,
    ) -> io::Result<()> {
        let mut text = Vec::with_capacity(events.len() + 512);
        if self.head.is_none() {
            writer.closing |= !writer.chunks;
            write_head(&mut text, head, writer);
            let framing: &[u8] =
                if writer.chunks { b"Transfer-Encoding: chunked\r\n" } else { b"" };
            text.extend_from_slice(framing);
            text.extend_from_slice(b"\r\n");
            self.head = Some(head.clone());
        }
        if !events.is_empty() {
            write_chunk(&mut text, events, writer.chunks);
        }
        writer.write(&text).await
    }

    async fn pass_plain<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        mut begun: BegunAnswer<W>,
        writer: &mut CallerWriter,
    ) -> io::Result<RelayEnd> {
        let mut body = Vec::new();
        loop {
            match begun.channel.get().next_piece().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(fault) => return Ok(RelayEnd::Failed(AttemptError::of_answer(fault))),
            }
            if body.len() > WHOLE_BYTES {
                return self.pass_long(begun, body, writer).await;
            }
        }
        let BegunAnswer { head, channel, place } = begun;
        channel.give_back(head.fields.text("keep-alive"));
        drop(place);
        state.capacity_change.notify_one();
        let mut text = Vec::with_capacity(body.len() + 512);
        write_head(&mut text, &head, writer);
        let length = match head.fields.values("content-length").next() {
            Some(length) if self.to_head => length.to_vec(),
            _ => body.len().to_string().into_bytes(),
        };
        if head.status != 204 && head.status != 304 {
            write_field(&mut text, b"Content-Length", &length);
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&body);
        writer.write(&text).await?;
        Ok(RelayEnd::Whole { status: head.status })
    }

    /// Passes on an answer that is too long to be collected.
    async fn pass_long<W: EntryWire>(
        &mut self,
        mut begun: BegunAnswer<W>,
        first: Vec<u8>,
        writer: &mut CallerWriter,
    ) -> io::Result<RelayEnd> {
        let status = begun.head.status;
        self.write_events(&begun.head.clone(), &first, writer).await?;
        loop {
            match begun.channel.get().next_piece().await {
                Ok(Some(bytes)) => self.write_events(&begun.head, &bytes, writer).await?,
                Ok(None) => return self.end_stream(begun, writer, status).await,
                // The caller has a part: no other server's answer can take its place.
                Err(_) => {
                    let fault = AttemptFault::Broken;
                    let ran = catkin_base::RunVerdict::HasRun;
                    return Ok(RelayEnd::Failed(AttemptError { fault, ran }));
                }
            }
        }
    }
}

fn write_head(text: &mut Vec<u8>, head: &ResponseHead, writer: &CallerWriter) {
    text.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
    text.extend_from_slice(&head.reason);
    text.extend_from_slice(b"\r\n");
    for field in head.fields.iter().filter(|field| !is_connection_field(&head.fields, field)) {
        write_field(text, &field.name, &field.value);
    }
    if writer.closing {
        write_field(text, b"Connection", b"close");
    }
}

fn write_chunk(text: &mut Vec<u8>, bytes: &[u8], chunks: bool) {
    if !chunks {
        text.extend_from_slice(bytes);
        return;
    }
    text.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    text.extend_from_slice(bytes);
    text.extend_from_slice(b"\r\n");
}
