//! Waits of asynchronous tasks, for processes that may be suspended and threads that may not run for seconds.
//!
//! They use the timers of tokio. ntex measures a new timer from the last expiry of an earlier one until its timer task has run
//! again, so that a wait which begins right after an interruption lasts longer by its whole length. tokio lets a timer expire
//! before it reads the input that has arrived during the interruption, so a wait that ends late is extended for that.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use pin_project_lite::pin_project;

/// Lateness above which a wait counts as interrupted.
const MAX_LATENESS: Duration = Duration::from_millis(30);
/// Extension of an interrupted wait, in which pending input is read.
const INPUT_GRACE: Duration = Duration::from_millis(10);

/// The limit of a [`timeout`] has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the time limit has passed")]
pub struct Elapsed;

pin_project! {
    /// Returned by [`sleep`].
    pub struct Sleep {
        #[pin]
        timer: tokio::time::Sleep,
        started: Instant,
        duration: Duration,
        is_extended: bool,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut this = self.project();
        ready!(this.timer.as_mut().poll(cx));
        let is_interrupted = this.started.elapsed() > this.duration.saturating_add(MAX_LATENESS);
        if !is_interrupted || std::mem::replace(this.is_extended, true) {
            return Poll::Ready(());
        }
        this.timer.as_mut().reset(tokio::time::Instant::now() + INPUT_GRACE);
        this.timer.poll(cx)
    }
}

pin_project! {
    /// Returned by [`timeout`].
    pub struct Timeout<F> {
        #[pin]
        future: F,
        #[pin]
        limit: Sleep,
    }
}

impl<F: Future> Future for Timeout<F> {
    type Output = Result<F::Output, Elapsed>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        if let Poll::Ready(output) = this.future.poll(cx) {
            return Poll::Ready(Ok(output));
        }
        this.limit.poll(cx).map(|()| Err(Elapsed))
    }
}

/// Waits for `duration`. Input that has arrived by the end has been read then, even if the thread did not run meanwhile.
pub fn sleep(duration: Duration) -> Sleep {
    let timer = tokio::time::sleep(duration);
    Sleep { timer, started: Instant::now(), duration, is_extended: false }
}

/// Waits for `future`, for `limit` at most, and returns [`Elapsed`] if it is not ready by then. Input that has arrived by then
/// counts, even if the thread did not run meanwhile.
pub fn timeout<F: Future>(limit: Duration, future: F) -> Timeout<F> {
    Timeout { future, limit: sleep(limit) }
}
