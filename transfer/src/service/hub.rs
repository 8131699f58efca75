//! Both machines and what hangs on them, behind one lock that is never held over a wait. Whoever feeds the
//! machines carries out at once what they say.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::ear::Clock;
use super::node::{PushedCache, ReceivedCache};
use super::status::{Status, Totals};
use super::{Config, PushPolicy};
use crate::cause::Cause;
use crate::receiver::{self, Chunk, Receiver, Route, State};
use crate::sender::{self, Fault, Sender, Ticket};
use crate::wire::{Frame, Hello, RequestId};
use crate::{Conn, Incarnation, Micros, Token};

/// Chunks of at least this size are proven beside the connections' own work.
const PROVE_BESIDE: usize = 64 << 10;
/// Bytes of frames other than chunks that may wait to be written on one connection. Who asks for much and
/// reads nothing gets no further.
const MOST_QUEUED: usize = 8 << 20;

/// What a connection's writer gets.
#[derive(Debug)]
pub(crate) enum Item {
    Frame(Frame),
    Chunk(Token, u32, Bytes),
}

/// A connection, as the hub has it.
struct Line {
    items: mpsc::UnboundedSender<Item>,
    /// Bytes of frames, chunks not counted, that the writer has not yet taken.
    queued: usize,
    /// Ended by the hub.
    ended: CancellationToken,
    /// Something about its moves has changed.
    changed: Arc<Notify>,
    route: Route,
}

/// Who waits for a push to end.
type Pushed = oneshot::Sender<Result<(), Cause>>;

struct Inner {
    sender: Sender,
    receiver: Receiver,
    lines: HashMap<Conn, Line>,
    serial: u64,
    /// Where routes lead to that can be dialled,
    addresses: HashMap<SocketAddr, Route>,
    /// and the processes that have dialled us.
    processes: HashMap<Incarnation, Route>,
    dialers: HashMap<Route, AbortOnDropHandle<()>>,
    fetches: HashMap<Token, oneshot::Sender<Result<ReceivedCache, Cause>>>,
    /// Moves that others have announced.
    announced: HashSet<Token>,
    pushes: HashMap<RequestId, (Route, Pushed)>,
    inbox: Option<mpsc::UnboundedSender<PushedCache>>,
    reports: Option<mpsc::Sender<(RequestId, Cause)>>,
    totals: Totals,
}

/// Shared by all of a node's tasks.
pub(crate) struct Hub {
    inner: Mutex<Inner>,
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) process: Incarnation,
    pub(crate) log: Logger,
    wake: Notify,
    /// Ends all connections.
    pub(crate) closing: CancellationToken,
    /// Told whenever a state or a move has ended.
    pub(crate) ended: Notify,
}

impl Hub {
    pub(crate) fn new(config: Config, process: Incarnation, log: Logger) -> Self {
        let inner = Inner {
            sender: Sender::new(process, config.timeouts, config.sender),
            receiver: Receiver::new(config.timeouts, config.receiver),
            lines: HashMap::new(),
            serial: 0,
            addresses: HashMap::new(),
            processes: HashMap::new(),
            dialers: HashMap::new(),
            fetches: HashMap::new(),
            announced: HashSet::new(),
            pushes: HashMap::new(),
            inbox: None,
            reports: None,
            totals: Totals::default(),
        };
        Hub {
            inner: Mutex::new(inner),
            config,
            clock: Clock::new(),
            process,
            log,
            wake: Notify::new(),
            closing: CancellationToken::new(),
            ended: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Nothing in here panics by design; should it, what is there is still consistent enough to end with.
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Feeds the machines and carries out what they say.
    fn feed<T>(self: &Arc<Self>, feed: impl FnOnce(&mut Inner, Micros) -> T) -> T {
        let fed = self.feed_in_time(feed);
        self.wake.notify_one();
        fed
    }

    /// The same for whoever keeps the time, which need not be told that something has changed.
    fn feed_in_time<T>(self: &Arc<Self>, feed: impl FnOnce(&mut Inner, Micros) -> T) -> T {
        let mut chunks = Vec::new();
        let fed = {
            let mut inner = self.lock();
            let fed = feed(&mut inner, self.clock.now());
            self.carry_out(&mut inner, &mut chunks);
            fed
        };
        for chunk in chunks {
            self.prove(chunk);
        }
        fed
    }

    fn prove(self: &Arc<Self>, chunk: Chunk) {
        let (hub, beside) = (self.clone(), chunk.data.len() >= PROVE_BESIDE);
        let prove = move || {
            let good = chunk.proof.proves(chunk.index, &chunk.data);
            if !good {
                info!(hub.log, "a chunk is not what it should be"; "index" => chunk.index);
            }
            hub.feed(|inner, _| {
                inner.totals.chunks_bad += u64::from(!good);
                inner.receiver.proved(chunk, good);
            });
        };
        if beside {
            // It ends by itself; what it finds out of a move that has ended is dropped.
            tokio::task::spawn_blocking(prove);
        } else {
            prove();
        }
    }

    fn carry_out(self: &Arc<Self>, inner: &mut Inner, chunks: &mut Vec<Chunk>) {
        while let Some(out) = inner.receiver.poll() {
            match out {
                receiver::Out::Say(conn, frame) => inner.say(conn, frame),
                receiver::Out::Connect(route) => self.dial(inner, route),
                receiver::Out::Prove(chunk) => chunks.push(chunk),
                receiver::Out::Done(token, id, state) => self.done(inner, token, id, state),
                receiver::Out::Failed(token, cause) => {
                    inner.totals.failed += 1;
                    inner.announced.remove(&token);
                    if let Some(waits) = inner.fetches.remove(&token) {
                        let _ = waits.send(Err(cause));
                    }
                    debug!(self.log, "a fetch has failed"; "move" => token, "why" => %cause);
                    self.ended.notify_waiters();
                }
            }
        }
        while let Some(out) = inner.sender.poll() {
            match out {
                sender::Out::Say(conn, frame) => inner.say(conn, frame),
                sender::Out::Given(id) => {
                    inner.totals.given += 1;
                    inner.push_ends(&id, Ok(()));
                    self.ended.notify_waiters();
                }
                sender::Out::Freed(id, cause) => {
                    inner.totals.freed += 1;
                    info!(self.log, "a state was freed"; "request" => %id, "why" => %cause);
                    inner.push_ends(&id, Err(cause));
                    if let Some(reports) = &inner.reports {
                        // Whoever does not listen is not waited for.
                        let _ = reports.try_send((id, cause));
                    }
                    self.ended.notify_waiters();
                }
            }
        }
        while let Some((conn, token, index, data)) = inner.sender.next_chunk(self.clock.now()) {
            inner.totals.chunks_sent += 1;
            inner.totals.bytes_sent += data.len() as u64;
            if let Some(line) = inner.lines.get(&conn) {
                let _ = line.items.send(Item::Chunk(token, index, data));
            }
        }
    }

    fn done(self: &Arc<Self>, inner: &mut Inner, token: Token, id: RequestId, state: State) {
        inner.totals.arrived += 1;
        if inner.announced.remove(&token) && self.config.push_policy == PushPolicy::Store {
            // In one step: whoever comes for it next finds it.
            let State { chunks, length, proof } = state;
            inner.receiver.give_back(length);
            match inner.sender.hold(self.clock.now(), id.clone(), chunks, proof) {
                Ok(()) => info!(self.log, "held"; "request" => %id, "bytes" => length),
                Err(cause) => warn!(self.log, "lost"; "request" => %id, "why" => %cause),
            }
            return;
        }
        let whole = ReceivedCache::new(state, self.clone());
        let unclaimed = match (inner.fetches.remove(&token), &inner.inbox) {
            (Some(waits), _) => waits.send(Ok(whole)).err().and_then(Result::ok),
            (None, Some(inbox)) => inbox.send(PushedCache { id, cache: whole }).err().map(|e| e.0.cache),
            (None, None) => Some(whole),
        };
        if let Some(whole) = unclaimed {
            // Its memory goes back here, as the lock that its drop would take is held.
            inner.receiver.give_back(whole.disown());
        }
        self.ended.notify_waiters();
    }

    fn dial(self: &Arc<Self>, inner: &mut Inner, route: Route) {
        let address = inner.addresses.iter().find(|(_, r)| **r == route).map(|(a, _)| *a);
        let Some(address) = address else { return };
        if inner.dialers.contains_key(&route) || inner.lines.values().any(|l| l.route == route) {
            return;
        }
        let dialer = super::dial::keep(self.clone(), route, address);
        inner.dialers.insert(route, AbortOnDropHandle::new(tokio::spawn(dialer)));
    }

    /// Whether the dialer of a route goes on. Where it does not, it is forgotten in the same moment, so that
    /// whoever needs the route next starts another.
    pub(crate) fn still_needed(&self, route: Route) -> bool {
        let mut inner = self.lock();
        let needed = inner.needs(route);
        if !needed {
            // Dropping the handle ends the task that asks, which is about to end.
            inner.dialers.remove(&route);
            inner.addresses.retain(|_, r| *r != route);
        }
        needed
    }

    /// A connection's greetings have been exchanged. `route`: the one that was dialled.
    pub(crate) fn up(self: &Arc<Self>, hello: Hello, route: Option<Route>) -> Up {
        let (items, rest) = mpsc::unbounded_channel();
        let (ended, changed) = (CancellationToken::new(), Arc::new(Notify::new()));
        let conn = self.feed(|inner, now| {
            let conn = inner.serial();
            let route = route.unwrap_or_else(|| inner.route_of(hello.incarnation));
            let line = Line { items, queued: 0, ended: ended.clone(), changed: changed.clone(), route };
            inner.lines.insert(conn, line);
            inner.sender.up(now, conn, hello);
            inner.receiver.up(now, conn, Some(route));
            let announces = inner.pushes.iter().filter(|(_, (r, _))| *r == route);
            for id in announces.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
                inner.say(conn, Frame::Announce(id));
            }
            conn
        });
        Up { conn, items: rest, ended, changed }
    }

    /// A connection is gone; bytes last came on it at `heard`.
    pub(crate) fn down(self: &Arc<Self>, conn: Conn, heard: Micros, fault: bool) {
        self.feed(|inner, _| {
            inner.totals.cuts += u64::from(inner.busy(conn));
            inner.totals.faults += u64::from(fault);
            let line = inner.lines.remove(&conn);
            inner.sender.heard(heard, conn);
            inner.sender.down(conn);
            inner.receiver.heard(heard, conn);
            inner.receiver.down(conn);
            if let Some(line) = line {
                let (route, used) = (line.route, inner.needs(line.route));
                let more = inner.lines.values().any(|l| l.route == route);
                inner.processes.retain(|_, r| *r != route || used || more);
            }
        });
    }

    /// A frame has come. An error ends the connection.
    pub(crate) fn frame(self: &Arc<Self>, conn: Conn, frame: Frame) -> Result<(), Fault> {
        self.feed(|inner, now| self.take(inner, now, conn, frame))
    }

    fn take(&self, inner: &mut Inner, now: Micros, conn: Conn, frame: Frame) -> Result<(), Fault> {
        match frame {
            Frame::Want(want) => inner.sender.want(now, conn, want)?,
            Frame::Ask(token, ranges) => inner.sender.ask(conn, token, &ranges)?,
            Frame::Chunk(token, index, data) => inner.receiver.chunk(conn, token, index, data)?,
            Frame::Offer(offer) => inner.receiver.offer(now, conn, offer),
            Frame::Credit(bytes) => inner.sender.credit(conn, bytes),
            Frame::Complete(token) => inner.sender.complete(now, conn, token),
            Frame::Grant(token) => inner.receiver.grant(conn, token),
            Frame::GiveUp(token, cause) => inner.sender.abort(now, conn, token, cause),
            Frame::Abort(token, cause) => inner.receiver.abort(conn, token, cause),
            // What is fetched here is waited for.
            Frame::Release(id) => inner.sender.release_unclaimed(&id, Some(conn)),
            Frame::Announce(id) => self.announce(inner, now, conn, id),
            Frame::Refuse(id, cause) => inner.push_ends(&id, Err(cause)),
            Frame::StatusAsk => {
                let text = serde_json::to_vec(&self.status_of(inner)).unwrap_or_default();
                inner.say(conn, Frame::Status(text.into()));
            }
            Frame::Drain(left_ms) => info!(self.log, "a holder drains"; "left_ms" => left_ms),
            Frame::Hello(_) | Frame::Beat | Frame::Status(_) => {}
        }
        Ok(())
    }

    fn announce(&self, inner: &mut Inner, now: Micros, conn: Conn, id: RequestId) {
        let Some(route) = inner.lines.get(&conn).map(|l| l.route) else { return };
        // Said again after a cut: the move is under way.
        if inner.receiver.seeks(&id) {
            return;
        }
        let fetch = match self.config.push_policy {
            PushPolicy::Reject => Err(Cause::Unwanted),
            _ if inner.sender.draining() => Err(Cause::Drained),
            PushPolicy::Store if !inner.sender.room(inner.receiver.moves().2) => Err(Cause::Full),
            PushPolicy::Store | PushPolicy::Deliver => inner.receiver.fetch(now, id.clone(), route, None),
        };
        match fetch {
            Ok(token) => {
                inner.announced.insert(token);
            }
            Err(cause) => inner.say(conn, Frame::Refuse(id, cause)),
        }
    }

    pub(crate) fn begin(&self, id: RequestId) -> Result<Ticket, Cause> {
        self.lock().sender.begin(id)
    }

    pub(crate) fn cancel(&self, ticket: Ticket) {
        self.lock().sender.cancel(ticket);
    }

    pub(crate) fn put(
        self: &Arc<Self>,
        ticket: Ticket,
        state: Bytes,
        proof: Arc<crate::proof::Proof>,
    ) -> Result<(), Cause> {
        self.feed(|inner, now| inner.sender.put(now, ticket, state, proof))
    }

    pub(crate) fn fetch(
        self: &Arc<Self>,
        id: RequestId,
        from: SocketAddr,
        due: Option<Micros>,
    ) -> Result<(Token, oneshot::Receiver<Result<ReceivedCache, Cause>>), Cause> {
        let (tell, told) = oneshot::channel();
        self.feed(|inner, now| {
            let route = inner.route_to(from);
            let token = inner.receiver.fetch(now, id, route, due)?;
            inner.fetches.insert(token, tell);
            inner.line_changes(route);
            Ok((token, told))
        })
    }

    pub(crate) fn unwanted(self: &Arc<Self>, token: Token) {
        self.feed(|inner, _| inner.receiver.unwanted(token));
    }

    /// Tells the node at an address of a state that is held here, until it has taken it.
    pub(crate) fn push(
        self: &Arc<Self>,
        id: RequestId,
        to: SocketAddr,
    ) -> Result<oneshot::Receiver<Result<(), Cause>>, Cause> {
        let (tell, told) = oneshot::channel();
        self.feed(|inner, _| {
            if !inner.sender.holds(&id) {
                return Err(Cause::Gone);
            }
            let route = inner.route_to(to);
            inner.pushes.insert(id.clone(), (route, tell));
            match inner.lines.iter().find(|(_, l)| l.route == route).map(|(conn, _)| *conn) {
                Some(conn) => inner.say(conn, Frame::Announce(id)),
                None => self.dial(inner, route),
            }
            Ok(told)
        })
    }

    /// Lets go of all that is held for the request, here and at the other end of its moves. What is not
    /// known here may be known to whom we are connected with.
    pub(crate) fn release(self: &Arc<Self>, id: &RequestId) {
        self.feed(|inner, _| {
            let known = inner.sender.holds(id) || inner.receiver.seeks(id);
            inner.sender.release(id);
            inner.receiver.release(id);
            if !known {
                inner.pass_release_on(id);
            }
        });
    }

    /// Lets go of what is held for the request and no attempt waits for, here or at whom we are connected
    /// with.
    pub(crate) fn release_unclaimed(self: &Arc<Self>, id: &RequestId) {
        self.feed(|inner, _| {
            let known = inner.sender.holds(id) || inner.receiver.seeks(id);
            inner.sender.release_unclaimed(id, None);
            if !known {
                inner.pass_release_on(id);
            }
        });
    }

    pub(crate) fn drain(self: &Arc<Self>, within: Micros) {
        self.feed(|inner, now| inner.sender.drain(now, now + within));
    }

    pub(crate) fn give_back(self: &Arc<Self>, bytes: u64) {
        self.feed(|inner, _| inner.receiver.give_back(bytes));
    }

    pub(crate) fn busy(&self, conn: Conn) -> bool {
        self.lock().busy(conn)
    }

    /// The writer has taken a frame.
    pub(crate) fn written(&self, conn: Conn, bytes: usize) {
        if let Some(line) = self.lock().lines.get_mut(&conn) {
            line.queued = line.queued.saturating_sub(bytes);
        }
    }

    /// Nothing held, nothing under way.
    pub(crate) fn empty(&self) -> bool {
        let inner = self.lock();
        inner.sender.held().0 == 0 && inner.receiver.moves().0 == 0
    }

    /// The node is gone: all connections end, and nothing is dialled any more.
    pub(crate) fn close(&self) {
        self.closing.cancel();
        let dialers = std::mem::take(&mut self.lock().dialers);
        drop(dialers);
    }

    pub(crate) fn inbox(&self) -> mpsc::UnboundedReceiver<PushedCache> {
        // Bounded by the taker's memory and number of moves.
        let (tell, told) = mpsc::unbounded_channel();
        self.lock().inbox = Some(tell);
        told
    }

    pub(crate) fn reports(&self, room: usize) -> mpsc::Receiver<(RequestId, Cause)> {
        let (tell, told) = mpsc::channel(room);
        self.lock().reports = Some(tell);
        told
    }

    pub(crate) fn status(&self) -> Status {
        self.status_of(&self.lock())
    }

    pub(crate) fn progress(&self) -> Vec<(RequestId, u64, Option<u64>)> {
        self.lock().receiver.progress().map(|(id, here, length)| (id.clone(), here, length)).collect()
    }

    fn status_of(&self, inner: &Inner) -> Status {
        let ((states, state_bytes), (sending, in_flight)) = (inner.sender.held(), inner.sender.moves());
        let (fetching, waiting, memory) = inner.receiver.moves();
        Status {
            incarnation: self.process,
            connections: inner.lines.len(),
            draining: inner.sender.draining(),
            states,
            state_bytes,
            sending,
            in_flight,
            fetching,
            waiting,
            memory,
            total: inner.totals,
        }
    }

    /// Ends what is out of time, for as long as there is a node.
    pub(crate) async fn keep_time(self: Arc<Self>) {
        loop {
            let next = self.feed_in_time(|inner, now| {
                let ends = [inner.sender.tick(now), inner.receiver.tick(now)];
                ends.into_iter().flatten().min()
            });
            // What is fed meanwhile ends a hold from then at the earliest, which is many beats away.
            let beat = self.clock.now() + self.config.timeouts.heartbeat_interval;
            match next {
                Some(at) => sleep_until(self.clock.at(at.min(beat))).await,
                None => self.wake.notified().await,
            }
        }
    }
}

/// A connection that is up.
pub(crate) struct Up {
    pub(crate) conn: Conn,
    pub(crate) items: mpsc::UnboundedReceiver<Item>,
    pub(crate) ended: CancellationToken,
    pub(crate) changed: Arc<Notify>,
}

impl Inner {
    fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn busy(&self, conn: Conn) -> bool {
        self.sender.busy(conn) || self.receiver.busy(conn)
    }

    fn needs(&self, route: Route) -> bool {
        self.receiver.needs(route) || self.pushes.values().any(|(r, _)| *r == route)
    }

    fn route_to(&mut self, address: SocketAddr) -> Route {
        let fresh = self.serial();
        *self.addresses.entry(address).or_insert(fresh)
    }

    fn route_of(&mut self, process: Incarnation) -> Route {
        let fresh = self.serial();
        *self.processes.entry(process).or_insert(fresh)
    }

    fn line_changes(&self, route: Route) {
        self.lines.values().filter(|l| l.route == route).for_each(|l| l.changed.notify_one());
    }

    fn pass_release_on(&mut self, id: &RequestId) {
        for conn in self.lines.keys().copied().collect::<Vec<_>>() {
            self.say(conn, Frame::Release(id.clone()));
        }
    }

    fn push_ends(&mut self, id: &RequestId, end: Result<(), Cause>) {
        if let Some((_, tell)) = self.pushes.remove(id) {
            let _ = tell.send(end);
        }
    }

    fn say(&mut self, conn: Conn, frame: Frame) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.queued += weight(&frame);
        if line.queued > MOST_QUEUED {
            line.ended.cancel();
        } else {
            let _ = line.items.send(Item::Frame(frame));
        }
    }
}

/// About the bytes that a waiting frame takes up.
pub(crate) fn weight(frame: &Frame) -> usize {
    let more = match frame {
        Frame::Offer(offer) => offer.proof.leaves().len(),
        Frame::Ask(_, ranges) => ranges.len() * 8,
        Frame::Status(text) => text.len(),
        _ => 0,
    };
    64 + more
}
