//! Recognizes transient errors of system calls, which are caused by a shortage on this machine and not by the
//! operation. What a process needs at its start is retried for a while, as a failed start is a crash.

use std::io::{Error, ErrorKind};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, Instant};

/// How long an operation is retried at the start of the process.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait between two attempts.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Linux errors without an [`ErrorKind`] of their own: a device error, too many open files in the system and
/// in the process, and no buffer space.
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// Whether this machine lacks descriptors, memory, threads, ports or a network. No peer is at fault then, and
/// the next attempt may succeed.
pub fn is_resource_shortage(e: &Error) -> bool {
    let kinds = [
        ErrorKind::AddrNotAvailable,
        ErrorKind::NetworkUnreachable,
        ErrorKind::OutOfMemory,
        ErrorKind::Interrupted,
        ErrorKind::WouldBlock,
    ];
    kinds.contains(&e.kind()) || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

/// Whether reading a file failed with an error that may not recur a moment later.
pub fn is_transient_read_error(e: &Error) -> bool {
    is_resource_shortage(e) || e.raw_os_error() == Some(EIO)
}

/// Retries an operation for [`START_RETRY_TIMEOUT`] while its errors are transient. It blocks its thread, so
/// it is only for the start of a process, before anything is served.
///
/// # Errors
///
/// The first error that is not transient, or the last one.
pub fn retry_at_start<T, E>(
    is_transient: impl Fn(&E) -> bool,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let deadline = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match attempt() {
            Err(e) if is_transient(&e) && Instant::now() < deadline => thread::sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
}

/// Waits until a pair of sockets can be created: the runtime's signal handlers panic without one.
///
/// # Errors
///
/// The last error, after [`START_RETRY_TIMEOUT`].
pub fn await_socket_pairs() -> std::io::Result<()> {
    retry_at_start(is_resource_shortage, UnixStream::pair).map(drop)
}

/// Waits until a thread can be created: the log's writer panics without one.
///
/// # Errors
///
/// The last error, after [`START_RETRY_TIMEOUT`].
pub fn await_threads() -> std::io::Result<()> {
    let thread = retry_at_start(is_resource_shortage, || thread::Builder::new().spawn(|| {}))?;
    // The thread does nothing that could fail.
    let _ = thread.join();
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/transient.rs"]
mod tests;
