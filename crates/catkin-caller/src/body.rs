//! Response bodies, which forward answers as they arrive.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use catkin_base::RequestId;
use hyper::body::{Body, Frame, SizeHint};

use crate::body_budget::BodyReservation;
use crate::caller_stream::TruncationFlag;
use crate::idle::BusyGuard;
use crate::{AnswerError, AnswerPart, CallAnswer, ProblemDocument};

type FrameResult = Option<Result<Frame<Bytes>, Infallible>>;

/// Body that never fails. A truncated answer closes its connection instead, through
/// [`TruncationFlag`].
pub(crate) trait AnswerFrames:
    Body<Data = Bytes, Error = Infallible> + Send + Unpin
{
}

impl<B: Body<Data = Bytes, Error = Infallible> + Send + Unpin> AnswerFrames for B {}

/// Resources that an open answer holds until its end.
#[derive(Debug)]
pub(crate) struct AnswerResources {
    pub(crate) request: RequestId,
    pub(crate) streamed: bool,
    pub(crate) truncated: TruncationFlag,
    pub(crate) _reservation: BodyReservation,
    pub(crate) _busy: BusyGuard,
}

/// Body of a response: a complete text, or an answer that is still being received.
pub(crate) enum ResponseBody<B> {
    Text { bytes: Bytes, _busy: BusyGuard },
    Answer(B),
}

impl<B: AnswerFrames> Body for ResponseBody<B> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        match &mut *self {
            Self::Text { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            Self::Text { bytes, .. } => {
                let frame = Frame::data(std::mem::take(bytes));
                Poll::Ready(Some(Ok(frame)))
            }
            Self::Answer(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Text { bytes, .. } => bytes.is_empty(),
            Self::Answer(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Text { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Self::Answer(_) => SizeHint::default(),
        }
    }
}

/// Returns a body that forwards the parts of an answer.
pub(crate) fn forward_answer<A: CallAnswer>(
    answer: A,
    first: AnswerPart,
    resources: AnswerResources,
) -> impl AnswerFrames + use<A> {
    AnswerBody { state: AnswerState::First { answer, part: first }, read_part, resources }
}

async fn read_part<A: CallAnswer>(mut answer: A) -> ReadPart<A> {
    let part = answer.next_part().await;
    ReadPart { answer, part }
}

struct ReadPart<A> {
    answer: A,
    part: Result<AnswerPart, AnswerError>,
}

/// Progress of forwarding an answer.
enum AnswerState<A, F> {
    First { answer: A, part: AnswerPart },
    Ready(A),
    Reading(Pin<Box<F>>),
    Ended,
    Truncated,
}

struct AnswerBody<A, T, F> {
    state: AnswerState<A, F>,
    read_part: T,
    resources: AnswerResources,
}

impl<A, T, F> Unpin for AnswerBody<A, T, F> {}

impl<A, T, F> AnswerBody<A, T, F>
where
    T: Fn(A) -> F,
    F: Future<Output = ReadPart<A>>,
{
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<AnswerPart, AnswerError>>> {
        loop {
            match std::mem::replace(&mut self.state, AnswerState::Ended) {
                AnswerState::First { answer, part } => {
                    self.state = AnswerState::Ready(answer);
                    return Poll::Ready(Some(Ok(part)));
                }
                AnswerState::Ready(answer) => {
                    self.state = AnswerState::Reading(Box::pin((self.read_part)(answer)));
                }
                AnswerState::Reading(mut future) => {
                    let Poll::Ready(read) = future.as_mut().poll(context) else {
                        self.state = AnswerState::Reading(future);
                        return Poll::Pending;
                    };
                    self.state = AnswerState::Ready(read.answer);
                    return Poll::Ready(Some(read.part));
                }
                AnswerState::Truncated => {
                    self.state = AnswerState::Truncated;
                    return Poll::Pending;
                }
                AnswerState::Ended => return Poll::Ready(None),
            }
        }
    }

    fn truncate(&mut self, error: &AnswerError) -> Poll<FrameResult> {
        log::info!(
            "caller: request {} failed during its answer; the answer is truncated: {}",
            self.resources.request,
            error.refusal
        );
        metrics::counter!("catkin_caller_cut_answers_total").increment(1);
        self.state = AnswerState::Truncated;
        self.resources.truncated.set();
        if !self.resources.streamed {
            return Poll::Pending;
        }
        let status = error.refusal.reason.http_status();
        let problem = ProblemDocument::from_refusal(&error.refusal, status, self.resources.request);
        Poll::Ready(Some(Ok(Frame::data(problem.to_event().into()))))
    }
}

impl<A, T, F> Body for AnswerBody<A, T, F>
where
    T: Fn(A) -> F,
    F: Future<Output = ReadPart<A>>,
{
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        match ready!(self.poll_part(context)) {
            Some(Ok(AnswerPart::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Ok(AnswerPart::End)) => {
                self.state = AnswerState::Ended;
                Poll::Ready(None)
            }
            Some(Err(error)) => self.truncate(&error),
            None => Poll::Ready(None),
        }
    }
}
