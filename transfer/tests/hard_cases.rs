//! One failure at a time, simulated over the state machines without sockets. Each test covers one safeguard.

mod support;

use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::memory_budget::{MemoryBudget, Reservation};
use frosttrail_transfer::proof::Proof;
use frosttrail_transfer::wire::{Offer, Want};
use frosttrail_transfer::{receiver, sender};
use support::*;

const LENGTH: usize = 20 * CHUNK_BYTES as usize;

fn sim(receivers: usize) -> Simulation {
    let sender = sender::Limits { max_in_flight_bytes: 16 * u64::from(CHUNK_BYTES), ..Default::default() };
    let receiver =
        receiver::Limits { max_memory_bytes: 1 << 20, window_bytes: 4 * CHUNK_BYTES, ..Default::default() };
    Simulation::new(receivers, sender, receiver)
}

/// A simulation in which receiver 0 fetches `r1` and `frames` frames have been delivered each way.
fn sim_after(frames: usize) -> (Simulation, u64) {
    let mut sim = sim(2);
    sim.store(1, LENGTH).unwrap();
    let token = sim.fetch(0, 1, None).unwrap();
    sim.deliver_frames(frames);
    (sim, token)
}

/// The result of a fetch; `None` while it is under way.
fn fetch_result(sim: &Simulation, receiver: usize, token: u64) -> Option<Result<(), Cause>> {
    sim.receivers[receiver].results.get(&token).map(|e| e.as_ref().map(|_| ()).map_err(|c| *c))
}

fn chunks_resent(sim: &Simulation) -> u32 {
    sim.times_sent.values().map(|n| n - 1).sum()
}

#[test]
fn a_connection_lost_at_any_frame_resends_at_most_the_chunks_in_flight() {
    for frames in 0..60 {
        let (mut sim, token) = sim_after(frames);
        let had_ended = sim.receivers[0].results.contains_key(&token);
        sim.is_offline = true;
        sim.close_connections();
        sim.advance(500_000);
        assert!(had_ended || fetch_result(&sim, 0, token).is_none(), "given up early, cut at {frames}");
        sim.is_offline = false;
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())), "cut at {frames}");
        assert!(chunks_resent(&sim) <= 4, "{} chunks sent again, cut at {frames}", chunks_resent(&sim));
        assert_eq!(sim.sender.held(), (0, 0));
    }
}

/// Guards against a hand-over that counts as done although its grant, or the receipt for it, is lost:
/// wherever the connection breaks, the sender learns that the receiver has the cache.
#[test]
fn a_hand_over_is_confirmed_wherever_the_connection_is_lost() {
    for frames in 0..60 {
        let (mut sim, token) = sim_after(frames);
        sim.close_connections();
        sim.advance(TIME_STEP);
        // The sender of a push opens the next connection, even if the receiver has all that it wants.
        sim.reconnect(0);
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())), "cut at {frames}");
        assert_eq!((sim.confirmed.clone(), sim.unconfirmed.len()), (vec![id(1)], 0), "cut at {frames}");
        assert!(!sim.sender.has_unconfirmed_grants());
    }
}

/// Guards against a grant that counts as confirmed because its connection still stands: a receiver of an
/// earlier build whose link has stalled does not have it.
#[test]
fn a_receiver_that_confirms_nothing_is_not_presumed_to_have_the_grant() {
    let mut sim = sim(1);
    sim.features = 0;
    sim.store(1, LENGTH).unwrap();
    sim.fetch(0, 1, None).unwrap();
    sim.deliver_frames(frames_until_grant());
    assert!(sim.sender.has_unconfirmed_grants());
    sim.sender.expire(sim.now + MAX_TIME_TO_FREE);
    sim.run_actions();
    assert_eq!((sim.confirmed.len(), sim.unconfirmed.clone()), (0, vec![(id(1), Cause::PeerLost)]));
}

/// The number of frames each way after which the sender has handed the cache over and the grant is in flight.
fn frames_until_grant() -> usize {
    let handed_over = |frames: &usize| sim_after(*frames).0.sender.has_unconfirmed_grants();
    (0..60).find(handed_over).expect("a hand-over")
}

#[test]
fn a_grant_that_can_not_be_repeated_is_reported_as_unconfirmed() {
    let (mut sim, token) = sim_after(frames_until_grant());
    sim.is_offline = true;
    sim.close_connections();
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::PeerLost)));
    assert_eq!((sim.confirmed.len(), sim.unconfirmed.clone()), (0, vec![(id(1), Cause::PeerLost)]));
    assert!(!sim.sender.has_unconfirmed_grants());
}

#[test]
fn a_newer_prefill_or_a_release_ends_the_wait_for_a_receipt() {
    let (mut sim, _) = sim_after(frames_until_grant());
    sim.close_connections();
    sim.store(1, LENGTH).unwrap();
    assert_eq!(sim.unconfirmed, [(id(1), Cause::Superseded)]);
    let (mut sim, _) = sim_after(frames_until_grant());
    sim.close_connections();
    sim.sender.release(&id(1));
    sim.run_actions();
    assert_eq!(sim.unconfirmed, [(id(1), Cause::Released)]);
}

/// A receiver of an earlier build sends no receipts: its status shows that it has read the grant.
#[test]
fn a_receiver_without_receipts_confirms_by_its_status() {
    let start = |frames| {
        let mut sim = sim(1);
        sim.features = 0;
        sim.store(1, LENGTH).unwrap();
        let token = sim.fetch(0, 1, None).unwrap();
        sim.deliver_frames(frames);
        sim.close_connections();
        (sim, token)
    };
    for frames in 0..60 {
        let (mut sim, token) = start(frames);
        sim.reconnect(0);
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())), "cut at {frames}");
        assert_eq!((sim.confirmed.clone(), sim.unconfirmed.len()), (vec![id(1)], 0), "cut at {frames}");
    }
    let (mut sim, _) = start(frames_until_grant());
    sim.is_offline = true;
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!((sim.confirmed.len(), sim.unconfirmed.len()), (0, 1));
}

#[test]
fn both_ends_are_free_after_an_outage_of_five_seconds() {
    for frames in 0..60 {
        let (mut sim, token) = sim_after(frames);
        sim.is_offline = true;
        sim.close_connections();
        sim.advance(MAX_TIME_TO_FREE);
        assert!(sim.receivers[0].results.contains_key(&token));
        assert_eq!(sim.sender.held(), (0, 0), "cut at {frames}");
        sim.drop_received();
        assert_eq!(sim.receivers[0].machine.usage(), (0, 0, 0));
        sim.advance(4_000_000);
        sim.is_offline = false;
        let again = sim.fetch(0, 1, None).unwrap();
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, again), Some(Err(Cause::NotFound)));
    }
}

#[test]
fn a_stalled_connection_is_closed_and_the_transfer_resumes_on_another() {
    let (mut sim, token) = sim_after(6);
    sim.is_offline = true;
    sim.advance(500_000);
    sim.is_offline = false;
    sim.advance(100_000);
    assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())));
    let (mut sim, token) = sim_after(6);
    sim.is_offline = true;
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::PeerLost)));
    assert_eq!(sim.sender.held(), (0, 0));
}

#[test]
fn a_corrupt_chunk_is_requested_again_up_to_the_limit() {
    let max_attempts = u32::from(receiver::Limits::default().max_chunk_attempts);
    for corrupt_chunks in [1, max_attempts - 1] {
        let mut sim = sim(1);
        sim.store(1, CHUNK_BYTES as usize).unwrap();
        sim.chunks_to_corrupt = corrupt_chunks;
        let token = sim.fetch(0, 1, None).unwrap();
        sim.advance(TIME_STEP);
        assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())));
        assert_eq!(chunks_resent(&sim), corrupt_chunks);
    }
    let mut sim = sim(1);
    sim.store(1, CHUNK_BYTES as usize).unwrap();
    sim.chunks_to_corrupt = u32::MAX;
    let token = sim.fetch(0, 1, None).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::Corrupt)));
    assert_eq!(chunks_resent(&sim), max_attempts - 1);
    // Both ends are free, and the sender reports it at once.
    assert_eq!(sim.freed, [(id(1), Cause::Corrupt)]);
    assert_eq!((sim.sender.held().0, sim.receivers[0].machine.usage()), (0, (0, 0, 0)));
}

#[test]
fn repeated_connection_losses_end_a_transfer() {
    let (mut sim, token) = sim_after(0);
    for _ in 0..=receiver::Limits::default().max_connection_losses {
        assert!(fetch_result(&sim, 0, token).is_none());
        // Enough for the want and the offer, but not for a chunk.
        sim.deliver_frames(2);
        sim.close_connections();
    }
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::PeerLost)));
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!(sim.sender.held(), (0, 0));
}

#[test]
fn a_restarted_sender_never_resumes_a_transfer_of_the_process_before() {
    for frames in [2, 6, 12, 18] {
        let (mut sim, token) = sim_after(frames);
        sim.restart_sender();
        // The same request has been prefilled again there: the same id, another KV cache.
        sim.store(1, LENGTH).unwrap();
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::NotFound)), "{frames}");
        // A new fetch gets the new KV cache; the simulation compares the contents.
        let token = sim.fetch(0, 1, None).unwrap();
        sim.advance(100_000);
        assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())));
    }
}

#[test]
fn a_newer_prefill_ends_the_transfer_of_the_older_cache() {
    let (mut sim, token) = sim_after(6);
    sim.store(1, LENGTH).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::Superseded)));
    assert_eq!(sim.freed, [(id(1), Cause::Superseded)]);
    assert_eq!(sim.sender.held().0, 1);
}

#[test]
fn the_later_of_two_receivers_wins_and_the_earlier_cannot_resume() {
    let (mut sim, first) = sim_after(6);
    let second = sim.fetch(1, 1, None).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, first), Some(Err(Cause::Superseded)));
    assert_eq!(fetch_result(&sim, 1, second), Some(Ok(())));
    // The first receiver is disconnected when the second claims the KV cache, and then tries to resume.
    let (mut sim, first) = sim_after(6);
    sim.close_connections();
    let want = Want { token: 1, id: id(1), deadline_ms: 0, resume_incarnation: 0 };
    let hello =
        frosttrail_transfer::wire::Hello { version: 1, features: 0, incarnation: 77, window_bytes: 1 };
    sim.sender.add_connection(sim.now, 900, hello);
    sim.sender.handle_want(sim.now, 900, want).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, first), Some(Err(Cause::Superseded)));
    // Once one receiver owns the KV cache, no other gets it.
    let (mut sim, first) = sim_after(100);
    let second = sim.fetch(1, 1, None).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, first), Some(Ok(())));
    assert_eq!(fetch_result(&sim, 1, second), Some(Err(Cause::OwnedElsewhere)));
}

#[test]
fn a_receiver_that_missed_the_grant_gets_it_after_a_reconnect() {
    let mut sim = sim(1);
    sim.store(1, CHUNK_BYTES as usize).unwrap();
    let token = sim.fetch(0, 1, None).unwrap();
    // Want, offer, ask, chunk and complete are delivered; the grant is not.
    while sim.sender.held().0 == 1 {
        assert!(fetch_result(&sim, 0, token).is_none());
        sim.deliver_frames(1);
    }
    assert!(fetch_result(&sim, 0, token).is_none(), "no result before the grant arrives");
    sim.close_connections();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, token), Some(Ok(())));
    sim.drop_received();
    assert!(sim.is_last_cache_freed(1), "the sender keeps a copy of a cache that it handed over");
    // After a second the sender forgets whom it handed the cache to, and the receiver drops its copy.
    sim.store(2, CHUNK_BYTES as usize).unwrap();
    let token = sim.fetch(0, 2, None).unwrap();
    while sim.sender.held().0 == 1 {
        sim.deliver_frames(1);
    }
    sim.is_offline = true;
    sim.close_connections();
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::PeerLost)));
    assert_eq!(sim.receivers[0].machine.usage(), (0, 0, 0));
}

#[test]
fn a_release_at_any_frame_even_repeated_frees_both_ends() {
    for frames in 0..40 {
        for at_receiver in [false, true] {
            let (mut sim, token) = sim_after(frames);
            for _ in 0..2 {
                match at_receiver {
                    false => sim.sender.release(&id(1)),
                    true => sim.receivers[0].machine.release(&id(1)),
                }
                sim.run_actions();
            }
            sim.advance(TIME_STEP);
            let ended = fetch_result(&sim, 0, token).unwrap();
            // Released before the want is delivered, the KV cache is not found.
            let cause = if frames == 0 && !at_receiver { Cause::NotFound } else { Cause::Released };
            assert!(ended.is_ok() || ended == Err(cause), "{ended:?} at {frames}");
            // If the receiver's release does not reach the sender, the KV cache is held until it expires.
            sim.advance(MAX_TIME_TO_FREE);
            sim.drop_received();
            assert_eq!(sim.sender.held(), (0, 0), "{frames}");
            assert_eq!(sim.receivers[0].machine.usage(), (0, 0, 0), "{frames}");
        }
    }
}

#[test]
fn a_release_during_a_prefill_drops_its_cache_and_no_later_one() {
    let mut sim = sim(1);
    let prefill = sim.sender.begin_prefill(id(1)).unwrap();
    sim.sender.release(&id(1));
    let cache = content(1, 100);
    let proof = std::sync::Arc::new(frosttrail_transfer::proof::Proof::compute(&cache, CHUNK_BYTES).unwrap());
    assert_eq!(sim.sender.store_prefill(0, prefill, cache, proof), Err(Cause::Released));
    assert_eq!(sim.sender.held().0, 0);
    sim.store(1, 100).unwrap();
    assert_eq!(sim.sender.held().0, 1);
}

#[test]
fn a_release_of_the_unclaimed_spares_prefills_and_transfers() {
    let mut sim = sim(1);
    let prefill = sim.sender.begin_prefill(id(1)).unwrap();
    sim.sender.release_unclaimed(&id(1), None);
    let cache = content(1, 100);
    let proof = std::sync::Arc::new(frosttrail_transfer::proof::Proof::compute(&cache, CHUNK_BYTES).unwrap());
    sim.sender.store_prefill(0, prefill, cache, proof).unwrap();
    // The KV cache is held and unclaimed.
    sim.sender.release_unclaimed(&id(1), None);
    assert_eq!(sim.sender.held().0, 0);
    for frames in 1..40 {
        for given_up in [false, true] {
            let (mut sim, token) = sim_after(frames);
            sim.sender.release_unclaimed(&id(1), None);
            if given_up {
                sim.cancel_fetches(0, 1);
                sim.run_actions();
                sim.advance(TIME_STEP);
                assert_eq!(sim.sender.held().0, 0, "still held after its receiver gave up at {frames}");
            } else {
                sim.advance(MAX_TIME_TO_FREE);
                assert!(fetch_result(&sim, 0, token).unwrap().is_ok(), "not delivered, released at {frames}");
            }
        }
    }
}

#[test]
fn a_cancelled_fetch_frees_both_ends() {
    for frames in 0..40 {
        let (mut sim, token) = sim_after(frames);
        sim.cancel_fetches(0, 1);
        assert!(fetch_result(&sim, 0, token).is_some());
        assert!(sim.receivers[0].results[&token].is_ok() || sim.receivers[0].machine.usage() == (0, 0, 0));
        sim.advance(MAX_TIME_TO_FREE);
        assert_eq!(sim.sender.held(), (0, 0));
    }
}

#[test]
fn a_drain_completes_transfers_refuses_new_prefills_and_frees_the_rest_in_time() {
    let mut sim = sim(2);
    for name in 1..4 {
        sim.store(name, LENGTH).unwrap();
    }
    let under_way = sim.fetch(0, 1, None).unwrap();
    sim.deliver_frames(6);
    sim.sender.drain(sim.now, sim.now + 600_000);
    assert_eq!(sim.store(4, LENGTH), Err(Cause::Drained));
    let held = sim.fetch(1, 2, None).unwrap();
    let unknown = sim.fetch(1, 4, None).unwrap();
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, under_way), Some(Ok(())), "a transfer under way must complete");
    assert_eq!(
        fetch_result(&sim, 1, held),
        Some(Ok(())),
        "a cache stored before the drain must be available"
    );
    assert_eq!(fetch_result(&sim, 1, unknown), Some(Err(Cause::Drained)));
    // r3 is being fetched when its receiver loses contact.
    let late = sim.fetch(0, 3, None).unwrap();
    sim.deliver_frames(4);
    sim.is_offline = true;
    sim.advance(300_000);
    assert_eq!(sim.sender.held().0, 1);
    sim.advance(300_000);
    assert_eq!(sim.sender.held(), (0, 0));
    assert_eq!(sim.freed, [(id(3), Cause::Drained)], "the freed cache must be reported, for another prefill");
    sim.is_offline = false;
    sim.advance(200_000);
    // The offer carried the time limit of the drain.
    assert_eq!(fetch_result(&sim, 0, late), Some(Err(Cause::Expired)));
}

#[test]
fn transfers_wait_for_receiver_memory_and_none_is_dropped() {
    let receiver = receiver::Limits {
        max_memory_bytes: LENGTH as u64 * 2,
        window_bytes: 4 * CHUNK_BYTES,
        ..Default::default()
    };
    let mut sim = Simulation::new(1, sender::Limits::default(), receiver);
    for name in 1..7 {
        sim.store(name, LENGTH).unwrap();
    }
    let deadline = |name: u8| (name == 6).then_some(800_000);
    let tokens: Vec<u64> = (1..7).map(|name| sim.fetch(0, name, deadline(name)).unwrap()).collect();
    sim.advance(TIME_STEP);
    let done =
        |sim: &Simulation| tokens.iter().map(|t| fetch_result(sim, 0, *t).is_some()).collect::<Vec<_>>();
    assert_eq!(done(&sim), [true, true, false, false, false, false]);
    assert_eq!(sim.receivers[0].machine.usage(), (4, 4, LENGTH as u64 * 2));
    // Held beyond the hold time, as the receiver stays connected.
    sim.advance(2 * MAX_TIME_TO_FREE);
    assert_eq!(sim.sender.held().0, 4);
    sim.drop_received();
    sim.advance(TIME_STEP);
    // The fetch with a deadline goes before earlier ones without.
    assert!(
        sim.receivers[0].results.contains_key(&tokens[5])
            && sim.receivers[0].results.contains_key(&tokens[2])
    );
    while sim.receivers[0].machine.usage().0 > 0 {
        sim.drop_received();
        sim.advance(TIME_STEP);
    }
    assert!(sim.freed.is_empty());
    let token = {
        sim.store(8, LENGTH * 3).unwrap();
        sim.fetch(0, 8, None).unwrap()
    };
    sim.advance(TIME_STEP);
    assert_eq!(fetch_result(&sim, 0, token), Some(Err(Cause::TooLarge)));
}

#[test]
fn a_small_reservation_does_not_overtake_a_large_one() {
    let mut memory = MemoryBudget::new(100);
    assert_eq!(memory.reserve(1, 60, u64::MAX), Reservation::Granted);
    assert_eq!(memory.reserve(2, 80, u64::MAX), Reservation::Queued);
    assert_eq!(
        memory.reserve(3, 20, u64::MAX),
        Reservation::Queued,
        "it fits, but must wait behind the larger one"
    );
    assert_eq!(memory.reserve(4, 30, 7), Reservation::Granted, "it has the earliest deadline");
    assert_eq!(memory.reserve(5, 101, 7), Reservation::Impossible);
    memory.release(60);
    assert_eq!((memory.admit_next(), memory.reserved_bytes()), (None, 30));
    memory.release(30);
    assert_eq!((memory.admit_next(), memory.admit_next(), memory.reserved_bytes()), (Some(2), Some(3), 100));
}

#[test]
fn an_offer_of_another_cache_after_a_reconnect_ends_the_fetch() {
    let mut sim = sim(1);
    let receiver = &mut sim.receivers[0].machine;
    let token = receiver.fetch(0, id(1), 1, None).unwrap();
    let offer = |serial: u64, incarnation: u64| {
        let proof = std::sync::Arc::new(Proof::compute(&content(serial, LENGTH), CHUNK_BYTES).unwrap());
        Offer { token, incarnation, limit_ms: 1_000, proof }
    };
    for (serial, incarnation) in [(1, 8), (2, 7)] {
        let token = receiver.fetch(0, id(1), 1, None).unwrap();
        let named = |offer: Offer| Offer { token, ..offer };
        receiver.add_connection(0, 5, Some(1));
        receiver.handle_offer(0, 5, named(offer(1, 7)));
        receiver.remove_connection(5);
        receiver.add_connection(0, 6, Some(1));
        receiver.handle_offer(0, 6, named(offer(serial, incarnation)));
        let actions = std::iter::from_fn(|| receiver.next_action());
        let failed =
            |a: receiver::Action| matches!(a, receiver::Action::Failed(t, Cause::NotFound) if t == token);
        assert!(actions.into_iter().any(failed), "{serial} {incarnation}");
        receiver.remove_connection(6);
    }
}

#[test]
fn protocol_violations_are_rejected_at_both_ends() {
    let (mut sim, _) = sim_after(2);
    let conn = 2;
    for range in [19..21, 3..3, u32::MAX - 1..u32::MAX] {
        assert_eq!(
            sim.sender.handle_ask(conn, 1, std::slice::from_ref(&range)),
            Err(sender::ProtocolError::InvalidRange)
        );
    }
    let again = Want { token: 1, id: id(1), deadline_ms: 0, resume_incarnation: 0 };
    assert_eq!(sim.sender.handle_want(0, conn, again), Err(sender::ProtocolError::DuplicateToken));
    let receiver = &mut sim.receivers[0].machine;
    let flood = (0..5).map(|_| receiver.handle_chunk(conn, 1, 0, content(0, CHUNK_BYTES as usize)));
    assert!(
        flood.collect::<Result<Vec<_>, _>>().is_ok(),
        "processed chunks must be credited, even of unknown transfers"
    );
    let large = content(0, 5 * CHUNK_BYTES as usize);
    assert_eq!(receiver.handle_chunk(conn, 1, 0, large), Err(sender::ProtocolError::WindowExceeded));
}
