//! The order of commands, and the wait that is reported to senders.

use std::sync::atomic::AtomicBool;
use std::sync::Mutex;

use super::*;
use crate::command::NewRequest;

fn submit(call_id: u64) -> Command {
    let (instructions, _) = mpsc::unbounded_channel();
    let (has_ended, release_state) = (Arc::new(AtomicBool::default()), Arc::new(Mutex::default()));
    let (query, arrived_at, deadline) = (frosttrail::Query::default(), 0, 0);
    Command::Submit(Box::new(NewRequest {
        query,
        call_id,
        arrived_at,
        deadline,
        instructions,
        has_ended,
        release_state,
    }))
}

async fn next(receiver: &mut CommandReceiver) -> Option<u64> {
    let (command, in_progress) = receiver.recv().await?;
    in_progress.finish(Duration::from_millis(10));
    match command {
        Command::Submit(new) => Some(new.call_id),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn urgent_commands_go_ahead_of_new_requests_up_to_a_limit() {
    let (sender, mut receiver) = command_queue(Clock::new());
    sender.send(submit(7));
    (0..2 * MAX_URGENT_IN_A_ROW).for_each(|_| sender.send(Command::Close));
    let mut before = 0;
    while next(&mut receiver).await.is_none() {
        before += 1;
    }
    assert_eq!(before, MAX_URGENT_IN_A_ROW);
}

#[tokio::test(start_paused = true)]
async fn the_expected_wait_follows_from_the_backlog_and_the_cost() {
    let (sender, mut receiver) = command_queue(Clock::new());
    let backlog = receiver.backlog();
    assert_eq!((backlog.waiting_count(), backlog.expected_wait()), (0, 0));
    for nth in 0..100 {
        sender.send(submit(nth));
        assert_eq!(next(&mut receiver).await, Some(nth));
    }
    (0..10).for_each(|nth| sender.send(submit(nth)));
    let wait = backlog.expected_wait();
    assert!((90_000..=100_000).contains(&wait), "ten at 10 ms each: {wait}");
    let clock = Clock::new();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(backlog.oldest_age(clock.now()) >= 300_000);
    while backlog.waiting_count() > 0 {
        next(&mut receiver).await;
    }
    assert_eq!((backlog.oldest_age(clock.now()), backlog.expected_wait()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn the_queue_ends_with_the_last_sender() {
    let (sender, mut receiver) = command_queue(Clock::new());
    let weak = sender.downgrade();
    assert!(weak.upgrade().is_some());
    drop(sender);
    assert!(receiver.recv().await.is_none() && weak.upgrade().is_none());
}
