//! One request: a future that owns its single final answer, and gives it in time whatever others do.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use frosttrail::admission::{self, ExecutionRecord};
use frosttrail::{Decision, Id, Micros, Outcome, Query, Report};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::answer_stream::AnswerStream;
use crate::cache_clock::CacheClock;
use crate::command::{Command, NewRequest, Order};
use crate::conductor::Conductor;
use crate::entry::{Entry, IdClaim};
use crate::metrics::Metrics;
use crate::permit::SendPermit;
use crate::release::{lock, Releaser};
use crate::traits::{AttemptReply, EventStream, Upstream};

/// A client's request as a front hands it over.
#[derive(Debug)]
pub struct Request<C> {
    /// What the decisions know of it.
    pub query: Query,
    /// What goes to the servers.
    pub call: C,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<E: EventStream> {
    /// Served: the events of one server's stream.
    Served(AnswerStream<E>),
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client should stay away; zero for no advice.
        retry_after: Duration,
        /// How the last attempt had ended, if there was one.
        last: Option<Outcome>,
    },
    /// Failed: it may have run.
    Failed {
        /// The last outcome, if there was one.
        last: Option<Outcome>,
    },
}

/// Why a request was not taken at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Its id is that of a request that has not ended.
    #[error("a request with this id has not ended yet")]
    IdInUse,
}

/// A request on the way to its final answer.
struct OpenCall {
    entry: Entry,
    /// When it answers itself, unless a decision has come.
    answer_by: Instant,
    /// What is held is let go after this time.
    release_within: Duration,
    run: ExecutionRecord,
    last: Option<Outcome>,
}

/// An attempt as it has been decided.
struct Prepared {
    server: Id,
    /// Resolves once the release before it has ended.
    after: Option<oneshot::Receiver<()>>,
    permit: SendPermit,
    stop_at: Micros,
    takes_effect: bool,
}

/// What an attempt leaves to be done.
enum Next<E> {
    Stream(E),
    /// The outcome has been reported; more orders follow.
    Again,
    /// The decisions have ended it while it was out.
    Order(Order),
    /// Its time is over.
    Overdue,
}

/// How the wait for an attempt ended.
enum Waited<E> {
    Order(Option<Order>),
    Reply(AttemptReply<E>),
    Overdue,
}

impl OpenCall {
    /// The next order; `None` where the dispatcher has none, `Err` once the request's time is over.
    async fn order(&mut self) -> Result<Option<Order>, Overdue> {
        loop {
            let release_due = self.entry.release_due(self.release_within);
            tokio::select! {
                biased;
                order = self.entry.orders.recv() => return Ok(order),
                () = release_due => self.entry.release(false),
                () = sleep_until(self.answer_by) => return Err(Overdue),
            }
        }
    }

    /// Waits for an attempt's reply, an order or the end of the request's time.
    async fn reply<E>(&mut self, attempt: impl Future<Output = AttemptReply<E>>) -> Waited<E> {
        tokio::pin!(attempt);
        loop {
            let release_due = self.entry.release_due(self.release_within);
            // What has been decided stands, also where a reply lies ready beside it: the decisions have let
            // go of the request, and what would begin to stream now might be cut by the conductor's end.
            tokio::select! {
                biased;
                order = self.entry.orders.recv() => return Waited::Order(order),
                reply = &mut attempt => return Waited::Reply(reply),
                // Where the attempt has arrived, this takes nothing.
                () = release_due => self.entry.release(true),
                () = sleep_until(self.answer_by) => return Waited::Overdue,
            }
        }
    }

    /// The final answer without a decision, and without a look at where others stand.
    fn overdue<E: EventStream>(&mut self, figures: &Metrics) -> Answer<E> {
        let refused = self.run.may_be_refused();
        figures.overdue(refused);
        if refused {
            self.entry.account.deferred();
            return Answer::Refused { retry_after: Duration::ZERO, last: self.last };
        }
        Answer::Failed { last: self.last }
    }
}

/// A request's time is over, and no decision has come.
struct Overdue;

impl<B: Upstream> Conductor<B> {
    /// Takes a request to its final answer. Dropping the future gives the request up.
    pub async fn call(&self, request: Request<B::Call>) -> Result<Answer<B::Events>, CallError> {
        let Request { query, call } = request;
        // Before all else: a refusal of one that is open would promise that nothing of it has run.
        let Some(claim) = IdClaim::new(&self.open_ids, &query.id) else { return Err(CallError::IdInUse) };
        if !admission::admits(self.commands.backlog().expected_wait(), query.budget) {
            return Ok(self.refuse_at_the_door(&query));
        }
        let mut open = self.open(query, claim);
        let mut next = open.order().await;
        if matches!(next, Ok(None)) {
            open.entry.account.not_taken();
            return Err(CallError::IdInUse);
        }
        loop {
            let order = match next {
                Ok(Some(order)) => order,
                Ok(None) => return Ok(Answer::Failed { last: open.last }),
                Err(Overdue) => return Ok(open.overdue(&self.figures)),
            };
            let Order { verdict, after, permit, takes_effect } = order;
            next = match verdict {
                Decision::Send { server, stop_at, .. } => {
                    let prepared = Prepared { server, after, permit, stop_at, takes_effect };
                    match self.attempt(&mut open, prepared, &call).await {
                        Next::Stream(events) => {
                            return Ok(Answer::Served(AnswerStream::new(open.entry, events)));
                        }
                        Next::Order(order) => Ok(Some(order)),
                        Next::Again => open.order().await,
                        Next::Overdue => Err(Overdue),
                    }
                }
                Decision::Refuse { retry_after } => {
                    open.entry.account.deferred();
                    let retry_after = Duration::from_micros(retry_after);
                    return Ok(Answer::Refused { retry_after, last: open.last });
                }
                Decision::Fail => return Ok(Answer::Failed { last: open.last }),
                // Nothing is out, nothing runs; the dispatcher sees to releases itself.
                Decision::Cancel | Decision::Move | Decision::Release => open.order().await,
            };
        }
    }

    fn refuse_at_the_door(&self, query: &Query) -> Answer<B::Events> {
        self.figures.open(&query.class.name).deferred();
        self.figures.refused_at_the_door();
        let retry_after = admission::retry_after(self.settings.borrow().max_retry_after, query);
        Answer::Refused { retry_after: Duration::from_micros(retry_after), last: None }
    }

    /// Tells the dispatcher of a request.
    fn open(&self, query: Query, claim: IdClaim) -> OpenCall {
        let (to_entry, orders) = mpsc::unbounded_channel();
        let (ended, cleanup) = (Arc::new(AtomicBool::default()), Arc::new(Mutex::default()));
        let (ticket, arrived) = (self.ticket(), self.clock.now());
        let entry = Entry {
            id: query.id.clone(),
            ticket,
            orders,
            commands: self.commands.clone(),
            account: self.figures.open(&query.class.name),
            ended: ended.clone(),
            cleanup: cleanup.clone(),
            releaser: self.releases.clone(),
            cache: CacheClock::default(),
            attempt_is_out: false,
            streams: false,
            _claim: claim,
        };
        let within = Duration::from_micros(admission::answer_timeout(query.budget));
        let release = admission::release_timeout(self.settings.borrow().cache_release_timeout);
        let open = OpenCall {
            entry,
            answer_by: Instant::now() + within,
            release_within: Duration::from_micros(release),
            run: ExecutionRecord::new(&query),
            last: None,
        };
        let deadline = arrived.saturating_add(query.budget);
        let new = NewRequest { query, ticket, arrived, deadline, orders: to_entry, ended, cleanup };
        self.commands.send(Command::Open(Box::new(new)));
        open
    }

    /// One attempt, until it ends, by its time at the latest, or the decisions end it. What was held for the
    /// request before is let go first: a late release would take what this attempt leaves.
    async fn attempt(&self, open: &mut OpenCall, prepared: Prepared, call: &B::Call) -> Next<B::Events> {
        let Prepared { server, after, permit, stop_at, takes_effect } = prepared;
        let id = open.entry.id.clone();
        open.run.record_send(takes_effect);
        open.entry.attempt_is_out = true;
        let waited = {
            let attempt = async {
                if let Some(released) = after {
                    // An error is an end too: the task that has it has gone.
                    let _ = timeout(self.release_wait(), released).await;
                }
                if permit.check().is_err() {
                    return AttemptReply::Ended(Outcome::NotSent, None);
                }
                let wait = Duration::from_micros(stop_at.saturating_sub(self.clock.now()));
                self.upstream.attempt(&server, &id, call, wait, &permit).await
            };
            open.reply(attempt).await
        };
        let ended_here = match &waited {
            Waited::Reply(AttemptReply::Ended(outcome, _)) => {
                matches!(outcome, Outcome::NoAnswer | Outcome::Failed | Outcome::Cancelled)
            }
            Waited::Reply(_) => false,
            Waited::Order(_) | Waited::Overdue => true,
        };
        if ended_here {
            // Neither another attempt nor an answer may overtake its end.
            let takes = self.upstream.cancellation_delay(&server);
            if !takes.is_zero() {
                sleep(takes).await;
            }
            open.entry.attempt_was_cut();
        }
        let reply = match waited {
            Waited::Reply(reply) => reply,
            Waited::Order(None | Some(Order { verdict: Decision::Cancel, .. })) => {
                AttemptReply::Ended(Outcome::Cancelled, None)
            }
            Waited::Order(Some(order)) => return Next::Order(order),
            Waited::Overdue => return Next::Overdue,
        };
        self.replied(open, &server, takes_effect, reply)
    }

    /// Notes what came of an attempt, and reports it.
    fn replied(
        &self,
        open: &mut OpenCall,
        server: &Id,
        takes_effect: bool,
        reply: AttemptReply<B::Events>,
    ) -> Next<B::Events> {
        let outcome = match &reply {
            AttemptReply::Stream(_) => Outcome::Served,
            AttemptReply::PrefillDone { .. } => Outcome::PrefillDone,
            AttemptReply::Ended(outcome, _) => *outcome,
        };
        let entry = &mut open.entry;
        self.releases.told(server, outcome, self.clock.now());
        open.run.record_end();
        entry.attempt_is_out = false;
        match reply {
            AttemptReply::Stream(events) => {
                lock(&entry.cleanup).call_off();
                entry.cache.taken();
                entry.streams = true;
                entry.report(Report::Started);
                Next::Stream(events)
            }
            AttemptReply::PrefillDone { cached_tokens, load } => {
                lock(&entry.cleanup).call_off();
                entry.cache.prefilled(Instant::now());
                entry.ended(outcome, cached_tokens, load);
                open.last = Some(outcome);
                Next::Again
            }
            AttemptReply::Ended(_, load) => {
                lock(&entry.cleanup).left_something();
                entry.cache.attempt_ended(outcome, !takes_effect, Instant::now());
                entry.ended(outcome, 0, load);
                open.last = Some(outcome);
                Next::Again
            }
        }
    }
}

impl<B: Upstream> tower_service::Service<Request<B::Call>> for Conductor<B> {
    type Response = Answer<B::Events>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, CallError>> + Send>>;

    /// Always ready: what to hold and for how long is the decisions' part.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B::Call>) -> Self::Future {
        let conductor = self.clone();
        Box::pin(async move { Conductor::call(&conductor, request).await })
    }
}
