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
use crate::command::{Command, Instruction, NewRequest};
use crate::conductor::Conductor;
use crate::entry::{IdClaim, Registration};
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
        last_outcome: Option<Outcome>,
    },
    /// Failed: it may have run.
    Failed {
        /// The last outcome, if there was one.
        last_outcome: Option<Outcome>,
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
    registration: Registration,
    /// When it answers itself, unless a decision has come.
    answer_by: Instant,
    /// What is held is let go after this time.
    release_timeout: Duration,
    execution: ExecutionRecord,
    last_outcome: Option<Outcome>,
}

/// An attempt as it has been decided.
struct PreparedAttempt {
    server: Id,
    /// Resolves once the release before it has ended.
    previous_release: Option<oneshot::Receiver<()>>,
    permit: SendPermit,
    stop_at: Micros,
    may_take_effect: bool,
}

/// What an attempt leaves to be done.
enum NextStep<E> {
    Stream(E),
    /// The outcome has been reported; more orders follow.
    AwaitInstruction,
    /// The decisions have ended it while it was out.
    Instruction(Instruction),
    /// Its time is over.
    Overdue,
}

/// How the wait for an attempt ended.
enum WaitResult<E> {
    Instruction(Option<Instruction>),
    Reply(AttemptReply<E>),
    Overdue,
}

impl OpenCall {
    /// The next order; `None` where the dispatcher has none, `Err` once the request's time is over.
    async fn next_instruction(&mut self) -> Result<Option<Instruction>, Overdue> {
        loop {
            let release_due = self.registration.wait_until_release_due(self.release_timeout);
            tokio::select! {
                biased;
                received = self.registration.instructions.recv() => return Ok(received),
                () = release_due => self.registration.release(false),
                () = sleep_until(self.answer_by) => return Err(Overdue),
            }
        }
    }

    /// Waits for an attempt's reply, an order or the end of the request's time.
    async fn wait_for_reply<E>(&mut self, attempt: impl Future<Output = AttemptReply<E>>) -> WaitResult<E> {
        tokio::pin!(attempt);
        loop {
            let release_due = self.registration.wait_until_release_due(self.release_timeout);
            // What has been decided stands, also where a reply lies ready beside it: the decisions have let
            // go of the request, and what would begin to stream now might be cut by the conductor's end.
            tokio::select! {
                biased;
                received = self.registration.instructions.recv() => return WaitResult::Instruction(received),
                reply = &mut attempt => return WaitResult::Reply(reply),
                // Where the attempt has arrived, this takes nothing.
                () = release_due => self.registration.release(true),
                () = sleep_until(self.answer_by) => return WaitResult::Overdue,
            }
        }
    }

    /// The final answer without a decision, and without a look at where others stand.
    fn answer_overdue<E: EventStream>(&mut self, metrics: &Metrics) -> Answer<E> {
        let is_refusal = self.execution.may_be_refused();
        metrics.count_overdue(is_refusal);
        if is_refusal {
            self.registration.metrics.mark_deferred();
            return Answer::Refused { retry_after: Duration::ZERO, last_outcome: self.last_outcome };
        }
        Answer::Failed { last_outcome: self.last_outcome }
    }
}

/// A request's time is over, and no decision has come.
struct Overdue;

impl<U: Upstream> Conductor<U> {
    /// Takes a request to its final answer. Dropping the future gives the request up.
    pub async fn call(&self, request: Request<U::Call>) -> Result<Answer<U::Events>, CallError> {
        let Request { query, call } = request;
        // Before all else: a refusal of one that is open would promise that nothing of it has run.
        let Some(claim) = IdClaim::acquire(&self.open_ids, &query.id) else { return Err(CallError::IdInUse) };
        if !admission::admits(self.commands.backlog().expected_wait(), query.budget) {
            return Ok(self.refuse_early(&query));
        }
        let mut open_call = self.register(query, claim);
        let mut next = open_call.next_instruction().await;
        if matches!(next, Ok(None)) {
            open_call.registration.metrics.mark_not_counted();
            return Err(CallError::IdInUse);
        }
        loop {
            let instruction = match next {
                Ok(Some(instruction)) => instruction,
                Ok(None) => return Ok(Answer::Failed { last_outcome: open_call.last_outcome }),
                Err(Overdue) => return Ok(open_call.answer_overdue(&self.metrics)),
            };
            let Instruction { decision, previous_release, permit, may_take_effect } = instruction;
            next = match decision {
                Decision::Send { server, stop_at, .. } => {
                    let prepared =
                        PreparedAttempt { server, previous_release, permit, stop_at, may_take_effect };
                    match self.attempt(&mut open_call, prepared, &call).await {
                        NextStep::Stream(events) => {
                            return Ok(Answer::Served(AnswerStream::new(open_call.registration, events)));
                        }
                        NextStep::Instruction(instruction) => Ok(Some(instruction)),
                        NextStep::AwaitInstruction => open_call.next_instruction().await,
                        NextStep::Overdue => Err(Overdue),
                    }
                }
                Decision::Refuse { retry_after } => {
                    open_call.registration.metrics.mark_deferred();
                    let retry_after = Duration::from_micros(retry_after);
                    return Ok(Answer::Refused { retry_after, last_outcome: open_call.last_outcome });
                }
                Decision::Fail => return Ok(Answer::Failed { last_outcome: open_call.last_outcome }),
                // Nothing is out, nothing runs; the dispatcher sees to releases itself.
                Decision::Cancel | Decision::Move | Decision::Release => open_call.next_instruction().await,
            };
        }
    }

    fn refuse_early(&self, query: &Query) -> Answer<U::Events> {
        self.metrics.open_request(&query.class.name).mark_deferred();
        self.metrics.count_early_refusal();
        let retry_after = admission::retry_after(self.settings.borrow().max_retry_after, query);
        Answer::Refused { retry_after: Duration::from_micros(retry_after), last_outcome: None }
    }

    /// Tells the dispatcher of a request.
    fn register(&self, query: Query, claim: IdClaim) -> OpenCall {
        let (instruction_sender, instructions) = mpsc::unbounded_channel();
        let (has_ended, release_state) = (Arc::new(AtomicBool::default()), Arc::new(Mutex::default()));
        let (call_id, arrived_at) = (self.allocate_call_id(), self.clock.now());
        let registration = Registration {
            id: query.id.clone(),
            call_id,
            instructions,
            commands: self.commands.clone(),
            metrics: self.metrics.open_request(&query.class.name),
            has_ended: has_ended.clone(),
            release_state: release_state.clone(),
            releaser: self.releaser.clone(),
            cache_clock: CacheClock::default(),
            has_attempt_in_flight: false,
            is_streaming: false,
            _claim: claim,
        };
        let answer_timeout = Duration::from_micros(admission::answer_timeout(query.budget));
        let release_timeout = admission::release_timeout(self.settings.borrow().cache_release_timeout);
        let open_call = OpenCall {
            registration,
            answer_by: Instant::now() + answer_timeout,
            release_timeout: Duration::from_micros(release_timeout),
            execution: ExecutionRecord::new(&query),
            last_outcome: None,
        };
        let deadline = arrived_at.saturating_add(query.budget);
        let new = NewRequest {
            query,
            call_id,
            arrived_at,
            deadline,
            instructions: instruction_sender,
            has_ended,
            release_state,
        };
        self.commands.send(Command::Submit(Box::new(new)));
        open_call
    }

    /// One attempt, until it ends, by its time at the latest, or the decisions end it. What was held for the
    /// request before is let go first: a late release would take what this attempt leaves.
    async fn attempt(
        &self,
        open_call: &mut OpenCall,
        prepared: PreparedAttempt,
        call: &U::Call,
    ) -> NextStep<U::Events> {
        let PreparedAttempt { server, previous_release, permit, stop_at, may_take_effect } = prepared;
        let id = open_call.registration.id.clone();
        open_call.execution.sent(may_take_effect);
        open_call.registration.has_attempt_in_flight = true;
        let result = {
            let attempt = async {
                if let Some(released) = previous_release {
                    // An error is an end too: the task that has it has gone.
                    let _ = timeout(self.release_wait(), released).await;
                }
                if permit.check().is_err() {
                    return AttemptReply::Ended(Outcome::NotSent, None);
                }
                let wait = Duration::from_micros(stop_at.saturating_sub(self.clock.now()));
                self.upstream.attempt(&server, &id, call, wait, &permit).await
            };
            open_call.wait_for_reply(attempt).await
        };
        let was_ended_here = match &result {
            WaitResult::Reply(AttemptReply::Ended(outcome, _)) => {
                matches!(outcome, Outcome::NoAnswer | Outcome::Failed | Outcome::Cancelled)
            }
            WaitResult::Reply(_) => false,
            WaitResult::Instruction(_) | WaitResult::Overdue => true,
        };
        if was_ended_here {
            // Neither another attempt nor an answer may overtake its end.
            let delay = self.upstream.cancellation_delay(&server);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            open_call.registration.record_cancelled_attempt();
        }
        let reply = match result {
            WaitResult::Reply(reply) => reply,
            WaitResult::Instruction(None | Some(Instruction { decision: Decision::Cancel, .. })) => {
                AttemptReply::Ended(Outcome::Cancelled, None)
            }
            WaitResult::Instruction(Some(instruction)) => return NextStep::Instruction(instruction),
            WaitResult::Overdue => return NextStep::Overdue,
        };
        self.handle_reply(open_call, &server, may_take_effect, reply)
    }

    /// Notes what came of an attempt, and reports it.
    fn handle_reply(
        &self,
        open_call: &mut OpenCall,
        server: &Id,
        may_take_effect: bool,
        reply: AttemptReply<U::Events>,
    ) -> NextStep<U::Events> {
        let outcome = match &reply {
            AttemptReply::Stream(_) => Outcome::Served,
            AttemptReply::PrefillDone { .. } => Outcome::PrefillDone,
            AttemptReply::Ended(outcome, _) => *outcome,
        };
        let registration = &mut open_call.registration;
        self.releaser.record_outcome(server, outcome, self.clock.now());
        open_call.execution.ended();
        registration.has_attempt_in_flight = false;
        match reply {
            AttemptReply::Stream(events) => {
                lock(&registration.release_state).abort_release();
                registration.cache_clock.record_fetch();
                registration.is_streaming = true;
                registration.report(Report::Started);
                NextStep::Stream(events)
            }
            AttemptReply::PrefillDone { cached_tokens, load } => {
                lock(&registration.release_state).abort_release();
                registration.cache_clock.record_prefill(Instant::now());
                registration.report_ended(outcome, cached_tokens, load);
                open_call.last_outcome = Some(outcome);
                NextStep::AwaitInstruction
            }
            AttemptReply::Ended(_, load) => {
                lock(&registration.release_state).mark_uncovered();
                registration.cache_clock.record_attempt_end(outcome, !may_take_effect, Instant::now());
                registration.report_ended(outcome, 0, load);
                open_call.last_outcome = Some(outcome);
                NextStep::AwaitInstruction
            }
        }
    }
}

impl<U: Upstream> tower_service::Service<Request<U::Call>> for Conductor<U> {
    type Response = Answer<U::Events>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, CallError>> + Send>>;

    /// Always ready: what to hold and for how long is the decisions' part.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<U::Call>) -> Self::Future {
        let conductor = self.clone();
        Box::pin(async move { Conductor::call(&conductor, request).await })
    }
}
