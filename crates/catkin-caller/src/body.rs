//! Bodies of responses.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use catkin_base::RequestId;
use hyper::body::{Body, Frame, SizeHint};

use crate::guard::CutFlag;
use crate::held::HeldShare;
use crate::idle::BusyGuard;
use crate::{AnswerError, AnswerPart, CallAnswer, ProblemDocument};

type FrameResult = Option<Result<Frame<Bytes>, Infallible>>;

/// A body of bytes that never fails; a cut answer ends by closing its connection.
pub(crate) trait AnswerFrames:
    Body<Data = Bytes, Error = Infallible> + Send + Unpin
{
}

impl<B: Body<Data = Bytes, Error = Infallible> + Send + Unpin> AnswerFrames for B {}

/// What an open answer holds until its end.
#[derive(Debug)]
pub(crate) struct AnswerHold {
    pub(crate) request: RequestId,
    pub(crate) streamed: bool,
    pub(crate) cut: CutFlag,
    pub(crate) _share: HeldShare,
    pub(crate) _busy: BusyGuard,
}

/// Body of a response: a text known in full, or an answer that is still arriving.
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

/// Body that passes on the parts of an answer.
pub(crate) fn pass_answer<A: CallAnswer>(
    answer: A,
    first: AnswerPart,
    hold: AnswerHold,
) -> impl AnswerFrames + use<A> {
    AnswerBody { step: AnswerStep::First { answer, part: first }, take_part, hold }
}

async fn take_part<A: CallAnswer>(mut answer: A) -> TakenPart<A> {
    let part = answer.next_part().await;
    TakenPart { answer, part }
}

struct TakenPart<A> {
    answer: A,
    part: Result<AnswerPart, AnswerError>,
}

enum AnswerStep<A, F> {
    First { answer: A, part: AnswerPart },
    Ready(A),
    Taking(Pin<Box<F>>),
    Ended,
    Cut,
}

struct AnswerBody<A, T, F> {
    step: AnswerStep<A, F>,
    take_part: T,
    hold: AnswerHold,
}

impl<A, T, F> Unpin for AnswerBody<A, T, F> {}

impl<A, T, F> AnswerBody<A, T, F>
where
    T: Fn(A) -> F,
    F: Future<Output = TakenPart<A>>,
{
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<AnswerPart, AnswerError>>> {
        loop {
            match std::mem::replace(&mut self.step, AnswerStep::Ended) {
                AnswerStep::First { answer, part } => {
                    self.step = AnswerStep::Ready(answer);
                    return Poll::Ready(Some(Ok(part)));
                }
                AnswerStep::Ready(answer) => {
                    self.step = AnswerStep::Taking(Box::pin((self.take_part)(answer)));
                }
                AnswerStep::Taking(mut future) => {
                    let Poll::Ready(taken) = future.as_mut().poll(context) else {
                        self.step = AnswerStep::Taking(future);
                        return Poll::Pending;
                    };
                    self.step = AnswerStep::Ready(taken.answer);
                    return Poll::Ready(Some(taken.part));
                }
                AnswerStep::Cut => {
                    self.step = AnswerStep::Cut;
                    return Poll::Pending;
                }
                AnswerStep::Ended => return Poll::Ready(None),
            }
        }
    }

    fn cut_off(&mut self, cut: &AnswerError) -> Poll<FrameResult> {
        log::info!("caller: request {} cut: {}", self.hold.request, cut.refusal);
        metrics::counter!("catkin_caller_cut_answers_total").increment(1);
        self.step = AnswerStep::Cut;
        self.hold.cut.set();
        if !self.hold.streamed {
            return Poll::Pending;
        }
        let status = cut.refusal.reason.http_status();
        let problem = ProblemDocument::from_refusal(&cut.refusal, status, self.hold.request);
        Poll::Ready(Some(Ok(Frame::data(problem.to_event().into()))))
    }
}

impl<A, T, F> Body for AnswerBody<A, T, F>
where
    T: Fn(A) -> F,
    F: Future<Output = TakenPart<A>>,
{
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        match ready!(self.poll_part(context)) {
            Some(Ok(AnswerPart::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Ok(AnswerPart::End)) => {
                self.step = AnswerStep::Ended;
                Poll::Ready(None)
            }
            Some(Err(cut)) => self.cut_off(&cut),
            None => Poll::Ready(None),
        }
    }
}
