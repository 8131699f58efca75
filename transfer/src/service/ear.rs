//! Notes when bytes last came. A large chunk on a slow link is no silence, though no frame ends for long.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

use crate::Micros;

/// A clock whose zero is its making.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn new() -> Self {
        Clock(Instant::now())
    }

    pub(crate) fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    pub(crate) fn at(&self, time: Micros) -> Instant {
        self.0 + std::time::Duration::from_micros(time)
    }
}

/// The moment at which bytes last came.
#[derive(Clone, Debug)]
pub(crate) struct Heard(Arc<AtomicU64>);

impl Heard {
    pub(crate) fn at(&self) -> Micros {
        self.0.load(Ordering::Relaxed)
    }
}

/// A reader that notes it.
#[derive(Debug)]
pub(crate) struct Ear<R> {
    inner: R,
    clock: Clock,
    heard: Heard,
}

impl<R> Ear<R> {
    pub(crate) fn new(inner: R, clock: Clock) -> (Self, Heard) {
        let heard = Heard(Arc::new(AtomicU64::new(clock.now())));
        (Ear { inner, clock, heard: heard.clone() }, heard)
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Ear<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.heard.0.store(self.clock.now(), Ordering::Relaxed);
        }
        read
    }
}
