//! Runs an attempt to its end, with a hedge request to a second replica while the first one is
//! silent.
//!
//! Silence alone does not fail an attempt: the replica may be slow, paused, or processing a long
//! prompt, and its response is as good as that of another replica. The connection to the silent
//! replica stays open until another replica has begun to respond.

use std::rc::Rc;

use gradeloft_policy::{process::replicas::ReplicaKey, request::attempt::Failure};

use super::{
    Entry,
    abort::AbortReason,
    attempt::{Attempt, AttemptOutcome},
    forward::{self, Job},
    relay::BufferedResponse,
    selection,
};
use crate::h1::wire::Wire;

/// Outcome of an attempt and its hedges; failures of replicas have been recorded.
pub(super) enum RunOutcome {
    /// The complete response was sent to the caller. Carries the HTTP status.
    Answered(u16),
    /// The attempt failed. Carries the replica's own error response, if there is one.
    Failed(Option<BufferedResponse>),
    /// The caller no longer receives the response, or a partly sent response can't be continued.
    Aborted(AbortReason),
    /// The deadline of the request passed.
    TimedOut,
}

/// Outcome of a hedge request.
enum HedgeOutcome {
    /// The original attempt goes on.
    OriginalResumed,
    /// The caller has disconnected, or the deadline passed.
    Ended(RunOutcome),
    /// The second replica has begun to respond and replaces the original attempt.
    HedgeWon(Box<Attempt>),
}

/// Runs an attempt to its end, hedging each time its replica is silent.
pub(super) async fn run_attempt(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    mut attempt: Attempt,
) -> RunOutcome {
    loop {
        let outcome = attempt.drive(entry, caller, job).await;
        let response_end = attempt.response_end(job);
        job.response_ends.extend(response_end);
        match outcome {
            AttemptOutcome::Answered(status) => {
                job.ended_with_connection = attempt.ended_with_connection();
                entry.record_answer(job, &attempt, status);
                attempt.finish(entry);
                return RunOutcome::Answered(status);
            }
            AttemptOutcome::Failed(failure, response) => {
                close_failed(entry, job, attempt, failure);
                return RunOutcome::Failed(response);
            }
            AttemptOutcome::Aborted(reason) => {
                attempt.close(entry, job);
                return RunOutcome::Aborted(reason);
            }
            AttemptOutcome::TimedOut => {
                attempt.close(entry, job);
                return RunOutcome::TimedOut;
            }
            AttemptOutcome::Silent => {}
        }
        if !std::mem::replace(&mut attempt.silence_counted, true) {
            forward::count_failed_attempt(entry, job, attempt.replica, Failure::Silent);
        }
        let Some(hedge_replica) = select_hedge_replica(entry, job) else {
            continue;
        };
        match hedge(entry, caller, job, &mut attempt, hedge_replica).await {
            HedgeOutcome::OriginalResumed => {}
            HedgeOutcome::Ended(end) => {
                attempt.close(entry, job);
                return end;
            }
            HedgeOutcome::HedgeWon(hedge_attempt) => {
                let silent = std::mem::replace(&mut attempt, *hedge_attempt);
                entry.record_lost_request(job, &silent);
                silent.abort();
            }
        }
    }
}

/// Selects a replica for a hedge request. A request suspected of crashing replicas is never hedged,
/// as the first replica may still be processing it.
fn select_hedge_replica(entry: &Rc<Entry>, job: &mut Job) -> Option<ReplicaKey> {
    if entry.suspects_request(job) {
        return None;
    }
    let hedge_replica = selection::select_alternative(entry, job, entry.node.clock.now())?;
    if !entry.take_repeat(&job.service) {
        return None;
    }
    entry.count_team_demand(job);
    Some(hedge_replica)
}

/// Records the failure of an attempt that could not be started.
pub(super) fn handle_start_failure(
    entry: &Entry,
    job: &mut Job,
    replica: ReplicaKey,
    ended: AttemptOutcome,
) -> RunOutcome {
    match ended {
        AttemptOutcome::Answered(status) => RunOutcome::Answered(status),
        AttemptOutcome::Failed(failure, response) => {
            forward::count_failed_attempt(entry, job, replica, failure);
            if failure == Failure::Withheld {
                // The replica may accept the request later.
                job.tried.retain(|it| *it != replica);
            }
            RunOutcome::Failed(response)
        }
        AttemptOutcome::Aborted(reason) => RunOutcome::Aborted(reason),
        AttemptOutcome::Silent | AttemptOutcome::TimedOut => RunOutcome::TimedOut,
    }
}

/// Closes a failed attempt, and records the failure.
fn close_failed(entry: &Rc<Entry>, job: &mut Job, attempt: Attempt, failure: Failure) {
    if attempt.silence_counted {
        forward::record_failure(entry, job, attempt.replica, failure);
    } else {
        forward::count_failed_attempt(entry, job, attempt.replica, failure);
    }
    if failure.may_be_crash() {
        entry.record_lost_request(job, &attempt);
    }
    attempt.close(entry, job);
}

/// Sends the request to a second replica, and keeps listening to the silent replica until the
/// second one begins to respond.
async fn hedge(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    silent: &mut Attempt,
    hedge_replica: ReplicaKey,
) -> HedgeOutcome {
    job.tried.push(hedge_replica);
    let mut hedge_attempt = match Attempt::begin(entry, caller, job, hedge_replica).await {
        Ok(hedge_attempt) => hedge_attempt,
        Err(ended) => {
            return match handle_start_failure(entry, job, hedge_replica, ended) {
                RunOutcome::Failed(_) => HedgeOutcome::OriginalResumed,
                end => HedgeOutcome::Ended(end),
            };
        }
    };
    let response = {
        let awaiting = hedge_attempt.await_response_head(entry, caller, job);
        tokio::pin!(awaiting);
        tokio::select! {
            biased;
            response = &mut awaiting => Some(response),
            resumed = silent.wait_for_data() => match resumed {
                true => None,
                false => Some(awaiting.await),
            },
        }
    };
    match response {
        Some(Ok(())) => HedgeOutcome::HedgeWon(Box::new(hedge_attempt)),
        Some(Err(AttemptOutcome::Failed(failure, _))) => {
            close_failed(entry, job, hedge_attempt, failure);
            HedgeOutcome::OriginalResumed
        }
        Some(Err(AttemptOutcome::Aborted(reason))) => {
            hedge_attempt.close(entry, job);
            HedgeOutcome::Ended(RunOutcome::Aborted(reason))
        }
        Some(Err(AttemptOutcome::TimedOut)) => {
            hedge_attempt.close(entry, job);
            HedgeOutcome::Ended(RunOutcome::TimedOut)
        }
        Some(Err(AttemptOutcome::Answered(_) | AttemptOutcome::Silent)) => {
            forward::count_failed_attempt(entry, job, hedge_replica, Failure::Silent);
            hedge_attempt.abort();
            HedgeOutcome::OriginalResumed
        }
        // The original replica has sent data.
        None => {
            forward::count_failed_attempt(entry, job, hedge_replica, Failure::Withdrawn);
            hedge_attempt.abort();
            HedgeOutcome::OriginalResumed
        }
    }
}
