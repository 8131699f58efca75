//! Limits the memory that the buffers of clients' requests may take together, so that the process stays below
//! its own limit however many large requests arrive at once.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};

/// Memory of the process that is not charged to the budget: code, the log, and the state of decisions.
const BASE_BYTES: usize = 8 << 20;
/// Memory of one connection in use, which is not charged to the budget.
const CONNECTION_BYTES: usize = 20 << 10;
/// Memory of one server in the list, which is not charged to the budget.
const SERVER_BYTES: usize = 4 << 10;
/// The part of the memory that is left that the budget hands out; the rest allows for the allocator, whose
/// free blocks between others can't be used for larger buffers.
const BUDGET_SHARE: (usize, usize) = (3, 4);
/// The smallest budget: some requests of the largest size.
const MIN_BUDGET_BYTES: usize = 1 << 20;
/// The part of the budget that only small buffers may take, so that large requests don't shut out all others.
const SMALL_BUFFER_SHARE: (usize, usize) = (1, 4);
/// The largest buffer that counts as small.
const MAX_SMALL_BUFFER_BYTES: usize = 32 << 10;
/// The first allocation of a buffer.
const MIN_ALLOCATION_BYTES: usize = 4 << 10;

/// The budget has no room for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests is in use; try again, or raise limits.memory_mb")]
pub struct BudgetExhausted;

/// What a budget is derived from.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// How many bytes all processes together may take.
    pub memory_bytes: usize,
    /// How many processes there may be at a time.
    pub processes: usize,
    /// How many connections all processes together may open.
    pub max_connections: usize,
    /// How many servers each process has in its list.
    pub servers: usize,
}

/// Memory in bytes that buffers may take together. Clones share one budget.
#[derive(Clone)]
pub struct BufferBudget(Arc<State>);

struct State {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BufferBudget {
    /// A budget of this many bytes.
    pub fn new(limit_bytes: usize) -> Self {
        BufferBudget(Arc::new(State { limit_bytes, used_bytes: AtomicUsize::new(0) }))
    }

    /// A budget without a limit.
    pub fn unlimited() -> Self {
        BufferBudget::new(usize::MAX)
    }

    /// The budget of each of the processes that share a limit on memory.
    pub fn for_process(limits: MemoryLimits) -> Self {
        let MemoryLimits { memory_bytes, processes, max_connections, servers } = limits;
        let bytes_per_process = BASE_BYTES.saturating_add(servers.saturating_mul(SERVER_BYTES));
        let other_bytes = bytes_per_process
            .saturating_mul(processes)
            .saturating_add(max_connections.saturating_mul(CONNECTION_BYTES));
        let (share, whole) = BUDGET_SHARE;
        let shared_bytes = memory_bytes.saturating_sub(other_bytes) / whole * share;
        BufferBudget::new((shared_bytes / processes.max(1)).max(MIN_BUDGET_BYTES))
    }

    /// The number of bytes that may be in use.
    pub fn limit_bytes(&self) -> usize {
        self.0.limit_bytes
    }

    /// The number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }

    /// A reservation of nothing, which can grow.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    fn try_take(&self, bytes: usize, is_small: bool) -> Result<(), BudgetExhausted> {
        let (share, whole) = SMALL_BUFFER_SHARE;
        let kept_bytes = if is_small { 0 } else { self.0.limit_bytes / whole * share };
        let limit_bytes = self.0.limit_bytes - kept_bytes;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit_bytes);
        let update = self.0.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        update.map(|_| ()).map_err(|_| BudgetExhausted)
    }
}

impl fmt::Debug for BufferBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BufferBudget({} of {} bytes)", self.used_bytes(), self.limit_bytes())
    }
}

/// A part of the budget, which is returned by drop.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes, or leaves the reservation as it is.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let is_small = self.bytes.saturating_add(bytes) <= MAX_SMALL_BUFFER_BYTES;
        self.budget.try_take(bytes, is_small)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves as many bytes as are missing to `bytes`, or leaves the reservation as it is.
    pub fn try_grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.try_grow(bytes.saturating_sub(self.bytes))
    }

    /// Takes the whole reservation out, and leaves an empty one of the same budget.
    pub fn take(&mut self) -> Reservation {
        let empty = self.budget.empty_reservation();
        std::mem::replace(self, empty)
    }

    /// Returns all bytes to the budget.
    pub fn clear(&mut self) {
        self.budget.0.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }

    /// Ties the reservation to these bytes: it is returned once the last reference to them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes with the reservation for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A buffer whose allocation is reserved from a budget.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: BytesMut,
    reservation: Reservation,
    max_bytes: usize,
}

impl ReservedBuffer {
    /// An empty buffer, which allocates at most `max_bytes` unless it holds more.
    pub fn new(budget: &BufferBudget, max_bytes: usize) -> Self {
        ReservedBuffer { bytes: BytesMut::new(), reservation: budget.empty_reservation(), max_bytes }
    }

    /// Appends a copy of these bytes, or leaves the buffer as it is.
    pub fn try_extend(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let length = self.bytes.len() + data.len();
        // What `advance` has passed over can't be used again, though it is still allocated.
        if length > self.bytes.capacity() {
            self.reallocate(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Moves the content to an allocation with room for `length` bytes.
    fn reallocate(&mut self, length: usize) -> Result<(), BudgetExhausted> {
        let doubled = (2 * self.reservation.bytes).max(MIN_ALLOCATION_BYTES);
        let allocation_bytes = doubled.min(self.max_bytes).max(length);
        self.reservation.try_grow(allocation_bytes.saturating_sub(self.reservation.bytes))?;
        let mut allocation = BytesMut::with_capacity(self.reservation.bytes);
        allocation.extend_from_slice(&self.bytes);
        self.bytes = allocation;
        Ok(())
    }

    /// The number of bytes in it.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Frees its memory.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
        self.reservation.clear();
    }

    /// Takes up to `max_bytes` bytes from its start into `target`, and frees the memory once all are taken.
    /// Returns how many bytes were taken.
    pub fn read_into(&mut self, target: &mut tokio::io::ReadBuf<'_>, max_bytes: usize) -> usize {
        let length = self.bytes.len().min(target.remaining()).min(max_bytes);
        target.put_slice(&self.bytes[..length]);
        self.bytes.advance(length);
        if self.bytes.is_empty() {
            self.clear();
        }
        length
    }

    /// The content, whose reservation is returned with the last reference to it.
    pub fn into_bytes(self) -> Bytes {
        self.reservation.attach_to(self.bytes.freeze())
    }
}

#[cfg(test)]
#[path = "../tests/unit/buffer_budget.rs"]
mod tests;
