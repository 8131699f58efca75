//! One request: a future that owns its single final answer and gives it in time, whatever other tasks do.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use frosttrail::admission::{self, ExecutionRecord};
use frosttrail::{Decision, Effect, Id, Micros, Outcome, Query, Report};
use slog::{debug, info};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::sync::CancellationToken;

use crate::answer_stream::{AnswerStream, StreamObserver};
use crate::cache_clock::CacheClock;
use crate::command::{Command, Instruction, NewRequest};
use crate::conductor::Conductor;
use crate::id_claim::IdClaim;
use crate::metrics::{outcome_label, Metrics};
use crate::permit::SendPermit;
use crate::registration::Registration;
use crate::release::{lock, Releaser};
use crate::traits::{AttemptReply, EventStream, Upstream};

/// A client's request as a front hands it over.
#[derive(Debug)]
pub struct Request<C> {
    /// What the decisions need to know about it.
    pub query: Query,
    /// What is sent to the servers.
    pub call: C,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<E: EventStream> {
    /// Served: the events of one server's stream.
    Served(AnswerStream<E>),
    /// Refused: a retry is harmless.
    Refused {
        /// How long the client should wait before a retry; zero for no advice.
        retry_after: Duration,
        /// The outcome of the last attempt, if there was one.
        last_outcome: Option<Outcome>,
    },
    /// Failed: the request may have run.
    Failed {
        /// The outcome of the last attempt, if there was one.
        last_outcome: Option<Outcome>,
    },
}

/// Why a request was not accepted at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A request with the same id is open.
    #[error("a request with this id has not ended yet")]
    IdInUse,
    /// A request with the same id has ended and may have taken effect.
    #[error("a request with this id may have taken effect; send a new request under a new id")]
    IdUsed,
}

impl CallError {
    /// The label of the metric that counts it.
    pub(crate) fn label(self) -> &'static str {
        match self {
            CallError::IdInUse => "in_use",
            CallError::IdUsed => "used",
        }
    }
}

/// When a request answers itself, unless a decision has come.
struct AnswerDeadline {
    /// The time at which its client gives up.
    at: Instant,
    /// Cancelled when all final answers are due, as the process exits soon.
    all_due: CancellationToken,
}

impl AnswerDeadline {
    async fn reached(&self) {
        tokio::select! {
            () = sleep_until(self.at) => {}
            () = self.all_due.cancelled() => {}
        }
    }
}

/// A request without its final answer.
struct OpenCall {
    registration: Registration,
    answer_deadline: AnswerDeadline,
    /// KV cache is released after this time.
    release_timeout: Duration,
    execution: ExecutionRecord,
    /// The delay that a refusal without a decision advises.
    retry_after: Duration,
    last_outcome: Option<Outcome>,
    /// How many attempts it has had.
    attempt_count: u32,
}

/// An attempt that has been decided.
struct PreparedAttempt {
    server: Id,
    /// Resolves once the request's previous release has ended.
    previous_release: Option<oneshot::Receiver<()>>,
    permit: SendPermit,
    stop_at: Micros,
    may_take_effect: bool,
}

/// What follows an attempt.
enum NextStep<E> {
    /// The stream of this server has begun.
    Stream(Id, E),
    /// The outcome has been reported, and the dispatcher sends further instructions.
    AwaitInstruction,
    /// An instruction ended the attempt while it was in flight.
    Instruction(Instruction),
    /// The request's time is over.
    Overdue,
}

/// How the wait for an attempt's reply ended.
enum WaitResult<E> {
    Instruction(Option<Instruction>),
    Reply(AttemptReply<E>),
    Overdue,
}

impl OpenCall {
    /// The next instruction; `None` if the dispatcher has none, `Err` once the request's time is over.
    async fn next_instruction(&mut self) -> Result<Option<Instruction>, Overdue> {
        loop {
            let release_due = self.registration.wait_until_release_due(self.release_timeout);
            tokio::select! {
                biased;
                received = self.registration.instructions.recv() => return Ok(received),
                () = release_due => self.registration.release(false),
                () = self.answer_deadline.reached() => return Err(Overdue),
            }
        }
    }

    /// Waits for an attempt's reply, an instruction or the end of the request's time.
    async fn wait_for_reply<E>(&mut self, attempt: impl Future<Output = AttemptReply<E>>) -> WaitResult<E> {
        tokio::pin!(attempt);
        loop {
            let release_due = self.registration.wait_until_release_due(self.release_timeout);
            // A decision takes precedence over a reply that is ready as well: the decisions have dropped the
            // request, and a stream that began now might be cut when the conductor ends.
            tokio::select! {
                biased;
                received = self.registration.instructions.recv() => return WaitResult::Instruction(received),
                reply = &mut attempt => return WaitResult::Reply(reply),
                // Frees nothing if the attempt has arrived.
                () = release_due => self.registration.release(true),
                () = self.answer_deadline.reached() => return WaitResult::Overdue,
            }
        }
    }

    /// The final answer without a decision, from what the request itself knows.
    fn answer_overdue<E: EventStream>(&mut self, metrics: &Metrics) -> Answer<E> {
        let is_refusal = self.execution.may_be_refused();
        metrics.count_overdue(is_refusal);
        if is_refusal {
            self.registration.mark_refused();
            return Answer::Refused { retry_after: self.retry_after, last_outcome: self.last_outcome };
        }
        Answer::Failed { last_outcome: self.last_outcome }
    }
}

/// The request's time is over, and no decision has come.
struct Overdue;

impl<U: Upstream> Conductor<U> {
    /// Runs a request to its final answer. Dropping the future cancels the request.
    pub async fn call(&self, request: Request<U::Call>) -> Result<Answer<U::Events>, CallError> {
        let (id, began_at) = (request.query.id.clone(), Instant::now());
        let answer = self.run(request).await;
        self.record_answer(&id, began_at, &answer);
        answer
    }

    /// Logs and counts a final answer other than a stream.
    fn record_answer(&self, id: &Id, began_at: Instant, answer: &Result<Answer<U::Events>, CallError>) {
        let label = |last: &Option<Outcome>| last.map_or("unsent", outcome_label);
        match answer {
            Ok(Answer::Served(_)) => {}
            Ok(Answer::Refused { last_outcome, .. }) => {
                debug!(self.log, "request refused"; "id" => %id, "last attempt" => label(last_outcome),
                    "after" => ?began_at.elapsed());
            }
            Ok(Answer::Failed { last_outcome }) => {
                self.metrics.count_failure(*last_outcome);
                info!(self.log, "request failed"; "id" => %id, "last attempt" => label(last_outcome),
                    "after" => ?began_at.elapsed());
            }
            Err(why) => {
                self.metrics.count_id_conflict(*why);
                info!(self.log, "request rejected"; "id" => %id, "why" => %why);
            }
        }
    }

    async fn run(&self, request: Request<U::Call>) -> Result<Answer<U::Events>, CallError> {
        let Request { mut query, call } = request;
        let arrived_at = self.clock.now();
        // Checked first: a refusal of a request that is open would promise that nothing of it has run.
        let claim = self.claim_id(&query.id).await?;
        query.budget = query.budget.saturating_sub(self.clock.now().saturating_sub(arrived_at));
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
                        NextStep::Stream(server, events) => {
                            let observer = StreamObserver::new(
                                server,
                                self.metrics.streams_cut.clone(),
                                self.log.clone(),
                            );
                            let stream = AnswerStream::new(open_call.registration, events, observer);
                            return Ok(Answer::Served(stream));
                        }
                        NextStep::Instruction(instruction) => Ok(Some(instruction)),
                        NextStep::AwaitInstruction => open_call.next_instruction().await,
                        NextStep::Overdue => Err(Overdue),
                    }
                }
                Decision::Refuse { retry_after } => {
                    open_call.registration.mark_refused();
                    let retry_after = Duration::from_micros(retry_after);
                    return Ok(Answer::Refused { retry_after, last_outcome: open_call.last_outcome });
                }
                Decision::Fail => return Ok(Answer::Failed { last_outcome: open_call.last_outcome }),
                // No attempt is in flight and no stream runs; the dispatcher starts releases itself.
                Decision::Cancel | Decision::Move | Decision::Release => open_call.next_instruction().await,
            };
        }
    }

    /// Reserves the id of a request. If the conductor stops meanwhile, the id counts as in use.
    async fn claim_id(&self, id: &Id) -> Result<IdClaim, CallError> {
        tokio::select! {
            biased;
            claim = self.ids.claim(id) => claim,
            () = self.final_answers_due() => Err(CallError::IdInUse),
        }
    }

    fn refuse_early(&self, query: &Query) -> Answer<U::Events> {
        self.metrics.open_request(&query.class.name).mark_deferred();
        self.metrics.count_early_refusal();
        Answer::Refused { retry_after: self.undecided_retry_after(query), last_outcome: None }
    }

    /// The delay that a refusal without a decision advises.
    fn undecided_retry_after(&self, query: &Query) -> Duration {
        Duration::from_micros(admission::retry_after(self.settings.borrow().max_retry_after, query))
    }

    /// Registers a request with the dispatcher.
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
            may_repeat: query.class.effect == Effect::Safe,
            claim: Some(claim),
        };
        let answer_timeout = Duration::from_micros(admission::answer_timeout(query.budget));
        let release_timeout = admission::release_timeout(self.settings.borrow().cache_release_timeout);
        let open_call = OpenCall {
            registration,
            answer_deadline: AnswerDeadline {
                at: Instant::now() + answer_timeout,
                all_due: self.final_answers_due.clone(),
            },
            release_timeout: Duration::from_micros(release_timeout),
            execution: ExecutionRecord::new(&query),
            retry_after: self.undecided_retry_after(&query),
            last_outcome: None,
            attempt_count: 0,
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

    /// Runs one attempt until it ends, at its stop time at the latest, or until the decisions end it. The
    /// request's previous release ends first: a late one would take the KV cache that this attempt leaves.
    async fn attempt(
        &self,
        open_call: &mut OpenCall,
        prepared: PreparedAttempt,
        call: &U::Call,
    ) -> NextStep<U::Events> {
        let PreparedAttempt { server, previous_release, permit, stop_at, may_take_effect } = prepared;
        let id = open_call.registration.id.clone();
        open_call.execution.record_send(may_take_effect);
        open_call.registration.has_attempt_in_flight = true;
        open_call.attempt_count += 1;
        let begun_at = Instant::now();
        let result = {
            let attempt = async {
                if let Some(released) = previous_release {
                    // An error is an end too: the release's task is gone.
                    let _ = timeout(self.release_wait(), released).await;
                }
                if permit.check().is_err() {
                    return AttemptReply::Ended(Outcome::NotSent, None);
                }
                let attempt_timeout = Duration::from_micros(stop_at.saturating_sub(self.clock.now()));
                self.upstream.attempt(&server, &id, call, attempt_timeout, &permit).await
            };
            open_call.wait_for_reply(attempt).await
        };
        self.record_attempt(open_call, &server, begun_at, &result);
        let was_ended_here = match &result {
            WaitResult::Reply(AttemptReply::Ended(outcome, _)) => {
                matches!(outcome, Outcome::NoAnswer | Outcome::Failed | Outcome::Cancelled)
            }
            WaitResult::Reply(_) => false,
            WaitResult::Instruction(_) | WaitResult::Overdue => true,
        };
        if was_ended_here {
            // Neither another attempt nor an answer may overtake the end of this one.
            let delay = self.upstream.cancellation_delay(&server);
            let is_confirmed = delay.is_zero() || timeout(delay, self.final_answers_due()).await.is_err();
            open_call.registration.record_cancelled_attempt();
            if !is_confirmed {
                open_call.execution.record_unconfirmed_end();
                return NextStep::Overdue;
            }
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

    /// Logs how an attempt went; by default only what the server or the network is to blame for.
    fn record_attempt<E>(
        &self,
        open_call: &OpenCall,
        server: &Id,
        begun_at: Instant,
        result: &WaitResult<E>,
    ) {
        let (is_expected, end) = match result {
            WaitResult::Reply(AttemptReply::Stream(_)) => (true, "stream began"),
            WaitResult::Reply(AttemptReply::PrefillDone { .. }) => (true, "prefill done"),
            WaitResult::Reply(AttemptReply::Ended(outcome, _)) => {
                (matches!(outcome, Outcome::Rejected | Outcome::NotSent), outcome_label(*outcome))
            }
            WaitResult::Instruction(_) => (true, "ended by a decision"),
            WaitResult::Overdue => (false, "overdue"),
        };
        let (id, number, after) = (&open_call.registration.id, open_call.attempt_count, begun_at.elapsed());
        match is_expected {
            true => debug!(self.log, "attempt"; "id" => %id, "number" => number, "server" => %server,
                "end" => end, "after" => ?after),
            false => info!(self.log, "attempt"; "id" => %id, "number" => number, "server" => %server,
                "end" => end, "after" => ?after),
        }
    }

    /// Records the result of an attempt and reports it.
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
        open_call.execution.record_end();
        registration.has_attempt_in_flight = false;
        match reply {
            AttemptReply::Stream(events) => {
                lock(&registration.release_state).abort_release();
                registration.cache_clock.record_fetch();
                registration.is_streaming = true;
                registration.report(Report::Started);
                NextStep::Stream(server.clone(), events)
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

    /// Always ready: the decisions choose what waits and for how long.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<U::Call>) -> Self::Future {
        let conductor = self.clone();
        Box::pin(async move { Conductor::call(&conductor, request).await })
    }
}
