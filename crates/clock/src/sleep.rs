//! Waits of asynchronous tasks.
//!
//! A process may be suspended, or a thread may not run for seconds. The timers of ntex count the time of those that are set
//! before its timer task has run again from the last expiry before, so that they last longer by the whole interruption.
//! Those of tokio expire before the input that has arrived meanwhile is read, so that a wait which ends late is followed by a
//! short one.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use pin_project_lite::pin_project;

/// Time by which a wait ends late if its thread has not run.
const INTERRUPTED: Duration = Duration::from_millis(30);
/// Time in which input that has arrived is read.
const INPUT: Duration = Duration::from_millis(10);

/// A limit has passed.
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
        let is_interrupted = this.started.elapsed() > this.duration.saturating_add(INTERRUPTED);
        if !is_interrupted || std::mem::replace(this.is_extended, true) {
            return Poll::Ready(());
        }
        this.timer.as_mut().reset(tokio::time::Instant::now() + INPUT);
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

/// Waits for a time. What has arrived by its end has been read then, also if the thread has not run meanwhile.
pub fn sleep(duration: Duration) -> Sleep {
    let timer = tokio::time::sleep(duration);
    Sleep { timer, started: Instant::now(), duration, is_extended: false }
}

/// Waits for a future up to a limit; ends with an error if it is not ready by then. What has arrived by then counts, also
/// if the thread has not run meanwhile.
pub fn timeout<F: Future>(limit: Duration, future: F) -> Timeout<F> {
    Timeout { future, limit: sleep(limit) }
}
