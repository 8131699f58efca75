//! Errors of system calls that say nothing of what was asked for: this machine lacks something for a moment.
//! What a process needs at its start is tried again for a while, as a start that fails is a crash.

use std::io::{Error, ErrorKind};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, Instant};

/// A start tries again for so long.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two tries.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Errors of Linux for which Rust has no kinds of its own: a failed device, too many open files, of the
/// system and of the process, and no room for buffers.
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// Whether this machine lacks descriptors, memory, threads, ports or a network: nobody else is to blame,
/// and the next try may succeed.
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

/// Whether a file that could not be read may be read a moment later.
pub fn is_transient_read_error(e: &Error) -> bool {
    is_resource_shortage(e) || e.raw_os_error() == Some(EIO)
}

/// Tries again for [`START_RETRY_TIMEOUT`] while errors are transient. It holds up its thread, and is for the
/// start of a process only, before anything is served.
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

/// Waits until pairs of sockets can be made: the runtime's signal handlers need one and panic without.
///
/// # Errors
///
/// The last error, after [`START_RETRY_TIMEOUT`].
pub fn await_socket_pairs() -> std::io::Result<()> {
    retry_at_start(is_resource_shortage, UnixStream::pair).map(drop)
}

/// Waits until threads can be made: the log's writer needs one and panics without.
///
/// # Errors
///
/// The last error, after [`START_RETRY_TIMEOUT`].
pub fn await_threads() -> std::io::Result<()> {
    let thread = retry_at_start(is_resource_shortage, || thread::Builder::new().spawn(|| {}))?;
    // It does nothing that could fail.
    let _ = thread.join();
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/transient.rs"]
mod tests;
