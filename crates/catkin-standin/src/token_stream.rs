//! Streams the tokens of an answer as server-sent events.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{Either, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use serde_json::json;

use crate::async_listener::{ServerAnswer, set_header};
use crate::chat_content::build_answer_token;
use crate::engine_handler::{ChatCall, OpenRun};

/// Maximum number of frames buffered for a slow reader.
const STREAM_BUFFER_FRAMES: usize = 4;

/// Starts a task that generates the tokens, and returns an answer that streams them.
pub(crate) fn start_stream(run: OpenRun, call: ChatCall) -> ServerAnswer {
    let (sender, receiver) = flume::bounded(STREAM_BUFFER_FRAMES);
    tokio::spawn(generate_tokens(run, call, sender));
    let mut answer = Response::new(Either::Right(StreamBody::new(receiver.into_stream())));
    set_header(&mut answer, "content-type", "text/event-stream");
    answer
}

type FrameSender = flume::Sender<io::Result<Frame<Bytes>>>;

async fn generate_tokens(mut run: OpenRun, call: ChatCall, sender: FrameSender) {
    let engine = Arc::clone(&run.engine);
    let tokens = call.body.answer_tokens();
    let first = call.headers.resume_after.unwrap_or_default();
    let cut = engine.take_stream_cut();
    for index in first..tokens {
        if index > first {
            tokio::time::sleep(engine.token_interval()).await;
        }
        if cut == Some(index - first) {
            let _ = sender
                .send_async(Err(io::Error::other("the stand-in cut the stream on purpose")))
                .await;
            return;
        }
        let event = build_token_event(&call, index, index + 1 == tokens);
        if sender.send_async(Ok(Frame::data(event))).await.is_err() {
            return;
        }
    }
    engine.record_finish(&mut run, &call, tokens.saturating_sub(first));
    let _ = sender.send_async(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))).await;
}

fn build_token_event(call: &ChatCall, index: u32, last: bool) -> Bytes {
    let chunk = json!({
        "id": call.headers.attempt,
        "object": "chat.completion.chunk",
        "model": call.body.model,
        "choices": [{
            "index": 0,
            "delta": { "content": build_answer_token(call.body.last_content(), index) },
            "finish_reason": last.then_some("stop"),
        }],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}
