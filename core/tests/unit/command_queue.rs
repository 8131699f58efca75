//! The order of commands, and what their sender is told of the wait.

use std::sync::atomic::AtomicBool;
use std::sync::Mutex;

use super::*;
use crate::command::NewRequest;

fn open(ticket: u64) -> Command {
    let (orders, _) = mpsc::unbounded_channel();
    let (ended, cleanup) = (Arc::new(AtomicBool::default()), Arc::new(Mutex::default()));
    let (query, arrived, deadline) = (frosttrail::Query::default(), 0, 0);
    Command::Open(Box::new(NewRequest { query, ticket, arrived, deadline, orders, ended, cleanup }))
}

async fn next(receiver: &mut CommandReceiver) -> Option<u64> {
    let (command, taken) = receiver.recv().await?;
    taken.done(Duration::from_millis(10));
    match command {
        Command::Open(new) => Some(new.ticket),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn what_became_of_open_requests_goes_ahead_of_new_ones_but_not_for_ever() {
    let (sender, mut receiver) = commands(Clock::new());
    sender.send(open(7));
    (0..2 * URGENT_IN_A_ROW).for_each(|_| sender.send(Command::Close));
    let mut before = 0;
    while next(&mut receiver).await.is_none() {
        before += 1;
    }
    assert_eq!(before, URGENT_IN_A_ROW);
}

#[tokio::test(start_paused = true)]
async fn the_wait_follows_from_what_waits_and_what_one_costs() {
    let (sender, mut receiver) = commands(Clock::new());
    let backlog = receiver.backlog();
    assert_eq!((backlog.waiting(), backlog.expected_wait()), (0, 0));
    for nth in 0..100 {
        sender.send(open(nth));
        assert_eq!(next(&mut receiver).await, Some(nth));
    }
    (0..10).for_each(|nth| sender.send(open(nth)));
    let wait = backlog.expected_wait();
    assert!((90_000..=100_000).contains(&wait), "ten at 10 ms each: {wait}");
    let clock = Clock::new();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(backlog.age(clock.now()) >= 300_000);
    while backlog.waiting() > 0 {
        next(&mut receiver).await;
    }
    assert_eq!((backlog.age(clock.now()), backlog.expected_wait()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn it_ends_with_the_last_sender() {
    let (sender, mut receiver) = commands(Clock::new());
    let weak = sender.downgrade();
    assert!(weak.upgrade().is_some());
    drop(sender);
    assert!(receiver.recv().await.is_none() && weak.upgrade().is_none());
}
