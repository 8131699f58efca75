//! One failure at a time, over the machines alone: what each guard is for.

mod support;

use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::memory::{Memory, Room};
use frosttrail_transfer::proof::Proof;
use frosttrail_transfer::wire::{Offer, Want};
use frosttrail_transfer::{receiver, sender};
use support::*;

const LENGTH: usize = 20 * CHUNK as usize;

fn world(takers: usize) -> World {
    let sender = sender::Limits { max_in_flight_bytes: 16 * u64::from(CHUNK), ..Default::default() };
    let receiver =
        receiver::Limits { max_memory_bytes: 1 << 20, window_bytes: 4 * CHUNK, ..Default::default() };
    World::new(takers, sender, receiver)
}

/// A world in which taker 0 fetches `r1`, and so many frames have passed each way.
fn under_way(frames: usize) -> (World, u64) {
    let mut world = world(2);
    world.put(1, LENGTH).unwrap();
    let token = world.fetch(0, 1, None).unwrap();
    world.frames(frames);
    (world, token)
}

/// How a fetch ended; `None` while it goes on.
fn end(world: &World, taker: usize, token: u64) -> Option<Result<(), Cause>> {
    world.takers[taker].ends.get(&token).map(|e| e.as_ref().map(|_| ()).map_err(|c| *c))
}

fn resent(world: &World) -> u32 {
    world.sent.values().map(|n| n - 1).sum()
}

#[test]
fn a_cut_at_any_frame_costs_at_most_what_was_on_its_way() {
    for frames in 0..60 {
        let (mut world, token) = under_way(frames);
        let before = world.takers[0].ends.contains_key(&token);
        world.dark = true;
        world.cut_all();
        world.advance(500_000);
        assert!(before || end(&world, 0, token).is_none(), "given up early, cut at {frames}");
        world.dark = false;
        world.advance(100_000);
        assert_eq!(end(&world, 0, token), Some(Ok(())), "cut at {frames}");
        assert!(resent(&world) <= 4, "{} chunks sent again, cut at {frames}", resent(&world));
        assert_eq!(world.holder.held(), (0, 0));
    }
}

#[test]
fn a_link_that_is_back_after_five_seconds_finds_both_ends_free() {
    for frames in 0..60 {
        let (mut world, token) = under_way(frames);
        world.dark = true;
        world.cut_all();
        world.advance(RULE);
        assert!(world.takers[0].ends.contains_key(&token));
        assert_eq!(world.holder.held(), (0, 0), "cut at {frames}");
        world.drop_states();
        assert_eq!(world.takers[0].machine.moves(), (0, 0, 0));
        world.advance(4_000_000);
        world.dark = false;
        let again = world.fetch(0, 1, None).unwrap();
        world.advance(100_000);
        assert_eq!(end(&world, 0, again), Some(Err(Cause::Gone)));
    }
}

#[test]
fn a_link_that_stalls_without_closing_is_cut_and_the_move_goes_on_over_another() {
    let (mut world, token) = under_way(6);
    world.dark = true;
    world.advance(500_000);
    world.dark = false;
    world.advance(100_000);
    assert_eq!(end(&world, 0, token), Some(Ok(())));
    let (mut world, token) = under_way(6);
    world.dark = true;
    world.advance(RULE);
    assert_eq!(end(&world, 0, token), Some(Err(Cause::Lost)));
    assert_eq!(world.holder.held(), (0, 0));
}

#[test]
fn a_chunk_is_asked_for_again_so_many_times_and_no_more() {
    let tries = u32::from(receiver::Limits::default().max_chunk_attempts);
    for flips in [1, tries - 1] {
        let mut world = world(1);
        world.put(1, CHUNK as usize).unwrap();
        world.flips = flips;
        let token = world.fetch(0, 1, None).unwrap();
        world.advance(SLICE);
        assert_eq!(end(&world, 0, token), Some(Ok(())));
        assert_eq!(resent(&world), flips);
    }
    let mut world = world(1);
    world.put(1, CHUNK as usize).unwrap();
    world.flips = u32::MAX;
    let token = world.fetch(0, 1, None).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, token), Some(Err(Cause::Corrupt)));
    assert_eq!(resent(&world), tries - 1);
    // Both ends are free, and the holder says so at once.
    assert_eq!(world.freed, [(id(1), Cause::Corrupt)]);
    assert_eq!((world.holder.held().0, world.takers[0].machine.moves()), (0, (0, 0, 0)));
}

#[test]
fn connections_that_break_again_and_again_bring_a_move_to_an_end() {
    let (mut world, token) = under_way(0);
    for _ in 0..=receiver::Limits::default().max_connection_losses {
        assert!(end(&world, 0, token).is_none());
        // Far enough for the greeting and the offer, and for no chunk.
        world.frames(2);
        world.cut_all();
    }
    assert_eq!(end(&world, 0, token), Some(Err(Cause::Lost)));
    world.advance(RULE);
    assert_eq!(world.holder.held(), (0, 0));
}

#[test]
fn a_restarted_holder_never_goes_on_with_an_older_ones_state() {
    for frames in [2, 6, 12, 18] {
        let (mut world, token) = under_way(frames);
        world.restart_holder();
        // The same request has been read again there: the same name, another state.
        world.put(1, LENGTH).unwrap();
        world.advance(100_000);
        assert_eq!(end(&world, 0, token), Some(Err(Cause::Gone)), "{frames}");
        // Whoever comes for the new one gets the new one: the world compares.
        let token = world.fetch(0, 1, None).unwrap();
        world.advance(100_000);
        assert_eq!(end(&world, 0, token), Some(Ok(())));
    }
}

#[test]
fn a_read_that_takes_the_place_of_another_ends_its_move() {
    let (mut world, token) = under_way(6);
    world.put(1, LENGTH).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, token), Some(Err(Cause::Superseded)));
    assert_eq!(world.freed, [(id(1), Cause::Superseded)]);
    assert_eq!(world.holder.held().0, 1);
}

#[test]
fn the_last_of_two_takers_gets_it_and_the_first_does_not_come_back() {
    let (mut world, first) = under_way(6);
    let second = world.fetch(1, 1, None).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, first), Some(Err(Cause::Superseded)));
    assert_eq!(end(&world, 1, second), Some(Ok(())));
    // The first is cut off meanwhile and has not heard: it comes back to take it up again.
    let (mut world, first) = under_way(6);
    world.cut_all();
    let want = Want { token: 1, id: id(1), due_ms: 0, resume: 0 };
    let hello = frosttrail_transfer::wire::Hello { version: 1, features: 0, incarnation: 77, window: 1 };
    world.holder.up(world.now, 900, hello);
    world.holder.want(world.now, 900, want).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, first), Some(Err(Cause::Superseded)));
    // Once it belongs to one taker, no other gets it.
    let (mut world, first) = under_way(100);
    let second = world.fetch(1, 1, None).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, first), Some(Ok(())));
    assert_eq!(end(&world, 1, second), Some(Err(Cause::Taken)));
}

#[test]
fn a_taker_that_has_not_heard_that_it_is_the_owner_hears_it_after_a_cut() {
    let mut world = world(1);
    world.put(1, CHUNK as usize).unwrap();
    let token = world.fetch(0, 1, None).unwrap();
    // Want, offer, ask, chunk and complete have passed; the grant has not.
    while world.holder.held().0 == 1 {
        assert!(end(&world, 0, token).is_none());
        world.frames(1);
    }
    assert!(end(&world, 0, token).is_none(), "nobody's for now");
    world.cut_all();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, token), Some(Ok(())));
    world.drop_states();
    assert!(world.dropped(1), "given away, the holder's copy has gone");
    // Not for ever: a note of who owns what is gone after a second, and so is the taker's copy.
    world.put(2, CHUNK as usize).unwrap();
    let token = world.fetch(0, 2, None).unwrap();
    while world.holder.held().0 == 1 {
        world.frames(1);
    }
    world.dark = true;
    world.cut_all();
    world.advance(RULE);
    assert_eq!(end(&world, 0, token), Some(Err(Cause::Lost)));
    assert_eq!(world.takers[0].machine.moves(), (0, 0, 0));
}

#[test]
fn a_release_frees_both_ends_before_the_offer_during_the_move_and_twice() {
    for frames in 0..40 {
        for at_taker in [false, true] {
            let (mut world, token) = under_way(frames);
            for _ in 0..2 {
                match at_taker {
                    false => world.holder.release(&id(1)),
                    true => world.takers[0].machine.release(&id(1)),
                }
                world.settle();
            }
            world.advance(SLICE);
            let ended = end(&world, 0, token).unwrap();
            // Released before its taker has come, it is not there for the taker.
            let cause = if frames == 0 && !at_taker { Cause::Gone } else { Cause::Released };
            assert!(ended.is_ok() || ended == Err(cause), "{ended:?} at {frames}");
            // Before the taker's word has reached the holder, the state waits for its time to end.
            world.advance(RULE);
            world.drop_states();
            assert_eq!(world.holder.held(), (0, 0), "{frames}");
            assert_eq!(world.takers[0].machine.moves(), (0, 0, 0), "{frames}");
        }
    }
}

#[test]
fn a_release_in_the_midst_of_a_read_frees_what_it_brings_and_no_later_read() {
    let mut world = world(1);
    let ticket = world.holder.begin(id(1)).unwrap();
    world.holder.release(&id(1));
    let state = content(1, 100);
    let proof = std::sync::Arc::new(frosttrail_transfer::proof::Proof::of(&state, CHUNK).unwrap());
    assert_eq!(world.holder.put(0, ticket, state, proof), Err(Cause::Released));
    assert_eq!(world.holder.held().0, 0);
    world.put(1, 100).unwrap();
    assert_eq!(world.holder.held().0, 1);
}

#[test]
fn a_release_of_what_nobody_waits_for_leaves_a_read_and_a_move_alone() {
    let mut world = world(1);
    let ticket = world.holder.begin(id(1)).unwrap();
    world.holder.release_unclaimed(&id(1), None);
    let state = content(1, 100);
    let proof = std::sync::Arc::new(frosttrail_transfer::proof::Proof::of(&state, CHUNK).unwrap());
    world.holder.put(0, ticket, state, proof).unwrap();
    // Held, and nobody has come for it.
    world.holder.release_unclaimed(&id(1), None);
    assert_eq!(world.holder.held().0, 0);
    for frames in 1..40 {
        for given_up in [false, true] {
            let (mut world, token) = under_way(frames);
            world.holder.release_unclaimed(&id(1), None);
            if given_up {
                world.drop_fetches(0, 1);
                world.settle();
                world.advance(SLICE);
                assert_eq!(world.holder.held().0, 0, "gone with its taker at {frames}");
            } else {
                world.advance(RULE);
                assert!(end(&world, 0, token).unwrap().is_ok(), "taken at {frames}");
            }
        }
    }
}

#[test]
fn a_client_that_goes_in_the_midst_leaves_nothing_at_either_end() {
    for frames in 0..40 {
        let (mut world, token) = under_way(frames);
        world.drop_fetches(0, 1);
        assert!(end(&world, 0, token).is_some());
        assert!(world.takers[0].ends[&token].is_ok() || world.takers[0].machine.moves() == (0, 0, 0));
        world.advance(RULE);
        assert_eq!(world.holder.held(), (0, 0));
    }
}

#[test]
fn a_drain_lets_go_on_what_is_held_refuses_what_is_new_and_frees_the_rest_in_time() {
    let mut world = world(2);
    for name in 1..4 {
        world.put(name, LENGTH).unwrap();
    }
    let under_way = world.fetch(0, 1, None).unwrap();
    world.frames(6);
    world.holder.drain(world.now, world.now + 600_000);
    assert_eq!(world.put(4, LENGTH), Err(Cause::Drained));
    let held = world.fetch(1, 2, None).unwrap();
    let unknown = world.fetch(1, 4, None).unwrap();
    world.advance(SLICE);
    assert_eq!(end(&world, 0, under_way), Some(Ok(())), "a move under way goes on");
    assert_eq!(end(&world, 1, held), Some(Ok(())), "what was read before may be taken");
    assert_eq!(end(&world, 1, unknown), Some(Err(Cause::Drained)));
    // r3 is being taken by one who gets no further.
    let late = world.fetch(0, 3, None).unwrap();
    world.frames(4);
    world.dark = true;
    world.advance(300_000);
    assert_eq!(world.holder.held().0, 1);
    world.advance(300_000);
    assert_eq!(world.holder.held(), (0, 0));
    assert_eq!(world.freed, [(id(3), Cause::Drained)], "reported, so that it is read anew");
    world.dark = false;
    world.advance(200_000);
    // The offer had told the taker until when.
    assert_eq!(end(&world, 0, late), Some(Err(Cause::Expired)));
}

#[test]
fn a_full_taker_lets_moves_wait_and_drops_none() {
    let receiver = receiver::Limits {
        max_memory_bytes: LENGTH as u64 * 2,
        window_bytes: 4 * CHUNK,
        ..Default::default()
    };
    let mut world = World::new(1, sender::Limits::default(), receiver);
    for name in 1..7 {
        world.put(name, LENGTH).unwrap();
    }
    let due = |name: u8| (name == 6).then_some(800_000);
    let tokens: Vec<u64> = (1..7).map(|name| world.fetch(0, name, due(name)).unwrap()).collect();
    world.advance(SLICE);
    let done = |world: &World| tokens.iter().map(|t| end(world, 0, *t).is_some()).collect::<Vec<_>>();
    assert_eq!(done(&world), [true, true, false, false, false, false]);
    assert_eq!(world.takers[0].machine.moves(), (4, 4, LENGTH as u64 * 2));
    // Longer than a state is held without its taker, as its taker is there.
    world.advance(2 * RULE);
    assert_eq!(world.holder.held().0, 4);
    world.drop_states();
    world.advance(SLICE);
    // The one with a time goes before those that came first.
    assert!(world.takers[0].ends.contains_key(&tokens[5]) && world.takers[0].ends.contains_key(&tokens[2]));
    while world.takers[0].machine.moves().0 > 0 {
        world.drop_states();
        world.advance(SLICE);
    }
    assert!(world.freed.is_empty());
    let token = {
        world.put(8, LENGTH * 3).unwrap();
        world.fetch(0, 8, None).unwrap()
    };
    world.advance(SLICE);
    assert_eq!(end(&world, 0, token), Some(Err(Cause::TooLarge)));
}

#[test]
fn a_small_state_does_not_pass_a_large_one_that_waits_for_memory() {
    let mut memory = Memory::new(100);
    assert_eq!(memory.want(1, 60, u64::MAX), Room::Now);
    assert_eq!(memory.want(2, 80, u64::MAX), Room::Later);
    assert_eq!(memory.want(3, 20, u64::MAX), Room::Later, "there is room, and it comes later");
    assert_eq!(memory.want(4, 30, 7), Room::Now, "it is due first");
    assert_eq!(memory.want(5, 101, 7), Room::Never);
    memory.give_back(60);
    assert_eq!((memory.admit(), memory.used()), (None, 30));
    memory.give_back(30);
    assert_eq!((memory.admit(), memory.admit(), memory.used()), (Some(2), Some(3), 100));
}

#[test]
fn a_holder_that_offers_another_state_after_a_cut_is_not_believed() {
    let mut world = world(1);
    let taker = &mut world.takers[0].machine;
    let token = taker.fetch(0, id(1), 1, None).unwrap();
    let offer = |serial: u64, incarnation: u64| {
        let proof = std::sync::Arc::new(Proof::of(&content(serial, LENGTH), CHUNK).unwrap());
        Offer { token, incarnation, limit_ms: 1_000, proof }
    };
    for (serial, incarnation) in [(1, 8), (2, 7)] {
        let token = taker.fetch(0, id(1), 1, None).unwrap();
        let named = |o: Offer| Offer { token, ..o };
        taker.up(0, 5, Some(1));
        taker.offer(0, 5, named(offer(1, 7)));
        taker.down(5);
        taker.up(0, 6, Some(1));
        taker.offer(0, 6, named(offer(serial, incarnation)));
        let outs = std::iter::from_fn(|| taker.poll());
        let failed = |o: receiver::Out| matches!(o, receiver::Out::Failed(t, Cause::Gone) if t == token);
        assert!(outs.into_iter().any(failed), "{serial} {incarnation}");
        taker.down(6);
    }
}

#[test]
fn takers_may_not_ask_for_what_there_is_not_nor_holders_send_what_is_not_allowed() {
    let (mut world, _) = under_way(2);
    let conn = 2;
    for range in [19..21, 3..3, u32::MAX - 1..u32::MAX] {
        assert_eq!(world.holder.ask(conn, 1, std::slice::from_ref(&range)), Err(sender::Fault::Range));
    }
    let again = Want { token: 1, id: id(1), due_ms: 0, resume: 0 };
    assert_eq!(world.holder.want(0, conn, again), Err(sender::Fault::Token));
    let taker = &mut world.takers[0].machine;
    let flood = (0..5).map(|_| taker.chunk(conn, 1, 0, content(0, CHUNK as usize)));
    assert!(flood.collect::<Result<Vec<_>, _>>().is_ok(), "known or not, what was dealt with is credited");
    let large = content(0, 5 * CHUNK as usize);
    assert_eq!(taker.chunk(conn, 1, 0, large), Err(sender::Fault::Credit));
}
