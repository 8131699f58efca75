//! Unit tests of the budget for buffers.

use super::*;

const KIB: usize = 1 << 10;
const MAX_BODY_BYTES: usize = 256 * KIB;

/// A buffer that holds this many bytes.
fn filled_buffer(budget: &BufferBudget, bytes: usize) -> Result<ReservedBuffer, BudgetExhausted> {
    let mut buffer = ReservedBuffer::new(budget, MAX_BODY_BYTES);
    for _ in 0..bytes / KIB {
        buffer.try_extend(&[7; KIB])?;
    }
    Ok(buffer)
}

#[test]
fn a_full_buffer_has_reserved_its_largest_size() {
    let budget = BufferBudget::new(4 << 20);
    let buffer = filled_buffer(&budget, MAX_BODY_BYTES).unwrap();
    assert_eq!((buffer.len(), budget.used_bytes()), (MAX_BODY_BYTES, MAX_BODY_BYTES));
}

#[test]
fn memory_returns_with_the_last_reference_to_the_bytes() {
    let budget = BufferBudget::new(4 << 20);
    let bytes = filled_buffer(&budget, 100 * KIB).unwrap().into_bytes();
    assert_eq!(&bytes[..], &[7; 100 * KIB]);
    let clone = bytes.clone();
    drop(bytes);
    assert!(budget.used_bytes() >= 100 * KIB);
    drop(clone);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_buffer_without_room_keeps_its_content_until_it_is_cleared() {
    let budget = BufferBudget::new(256 * KIB);
    let mut buffer = filled_buffer(&budget, 128 * KIB).unwrap();
    assert_eq!(buffer.try_extend(&[7; 128 * KIB]), Err(BudgetExhausted));
    assert_eq!(buffer.len(), 128 * KIB);
    buffer.clear();
    assert!(buffer.is_empty());
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn large_buffers_leave_room_to_small_ones() {
    let budget = BufferBudget::new(4 << 20);
    let large: Vec<_> = std::iter::from_fn(|| filled_buffer(&budget, MAX_BODY_BYTES).ok()).collect();
    assert_eq!(large.len(), 12);
    assert!(filled_buffer(&budget, 24 * KIB).is_ok());
}

#[test]
fn a_reader_takes_the_content_and_frees_the_buffer() {
    let budget = BufferBudget::new(4 << 20);
    let mut buffer = filled_buffer(&budget, 3 * KIB).unwrap();
    let mut target = [0; 2 * KIB];
    let mut taken = 0;
    while !buffer.is_empty() {
        let mut read = tokio::io::ReadBuf::new(&mut target);
        buffer.read_into(&mut read, usize::MAX);
        taken += read.filled().len();
    }
    assert_eq!((taken, budget.used_bytes()), (3 * KIB, 0));
}

#[test]
fn every_limit_leaves_memory_to_requests_and_none_is_exceeded() {
    for processes in [1, 2] {
        let mut smaller_budget = 0;
        for memory_mb in 32..=2_048 {
            let memory_bytes = memory_mb * 1_000_000;
            let limits = MemoryLimits { memory_bytes, processes, max_connections: 976, servers: 100 };
            let budget = BufferBudget::for_process(limits).limit_bytes();
            assert!(budget >= 4 * MAX_BODY_BYTES, "{processes} x {memory_mb} MB: {budget}");
            assert!(processes * budget < memory_bytes, "{processes} x {memory_mb} MB: {budget}");
            assert!(budget >= smaller_budget);
            smaller_budget = budget;
        }
    }
}
