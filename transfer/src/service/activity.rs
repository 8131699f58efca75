//! Tracks when bytes last arrived on a connection. Bytes count rather than frames, as a large chunk on a slow
//! link takes long to complete while the connection is alive.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

use crate::Micros;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn new() -> Self {
        Clock(Instant::now())
    }

    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    pub(crate) fn instant(&self, time: Micros) -> Instant {
        self.0 + std::time::Duration::from_micros(time)
    }
}

/// When bytes last arrived; clones share the value.
#[derive(Clone, Debug)]
pub(crate) struct LastActivity(Arc<AtomicU64>);

impl LastActivity {
    pub(crate) fn micros(&self) -> Micros {
        self.0.load(Ordering::Relaxed)
    }
}

/// A reader that records when bytes arrive.
#[derive(Debug)]
pub(crate) struct ActivityReader<R> {
    inner: R,
    clock: Clock,
    last_activity: LastActivity,
}

impl<R> ActivityReader<R> {
    pub(crate) fn new(inner: R, clock: Clock) -> (Self, LastActivity) {
        let last_activity = LastActivity(Arc::new(AtomicU64::new(clock.now())));
        (ActivityReader { inner, clock, last_activity: last_activity.clone() }, last_activity)
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ActivityReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.last_activity.0.store(self.clock.now(), Ordering::Relaxed);
        }
        read
    }
}
