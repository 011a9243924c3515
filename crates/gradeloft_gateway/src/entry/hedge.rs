//! The course of one attempt, and of another beside it while its replica is silent.
//!
//! A silence alone ends nothing: the replica may only be slow, stand still, or read a long prompt, and its answer is as good
//! as any. So its connection stays open until another replica has begun to answer.

use std::rc::Rc;

use gradeloft_policy::{process::replicas::ReplicaKey, request::attempt::Failure};

use super::{
    Entry,
    abort::Ending,
    attempt::{Attempt, Ended},
    forward::{self, Job},
    relay::Stored,
    selection,
};
use crate::h1::wire::Wire;

/// How the course of an attempt ended; failures of replicas are noted.
pub(super) enum End {
    /// The whole answer went out to the caller.
    Answered(u16),
    /// No answer that can be passed on as it is; a replica's own failure is kept.
    Failed(Option<Stored>),
    /// Nobody takes an answer any more, or nobody can go on with the one that went out in part.
    Gone(Ending),
    /// The request's time is over.
    TimedOut,
}

/// What came of asking another replica while one is silent.
enum Takeover {
    /// The silent one goes on.
    Back,
    /// The caller has gone, or its time is over.
    Ended(End),
    /// The other answers.
    Over(Box<Attempt>),
}

/// Follows an attempt to its end.
pub(super) async fn follow(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    mut attempt: Attempt,
) -> End {
    loop {
        match attempt.drive(entry, caller, job).await {
            Ended::Answered(status) => {
                attempt.finish(entry);
                return End::Answered(status);
            }
            Ended::Failed(failure, answer) => {
                fail(entry, job, attempt, failure);
                return End::Failed(answer);
            }
            Ended::Gone(ending) => {
                attempt.close(entry, job);
                return End::Gone(ending);
            }
            Ended::TimedOut => {
                attempt.close(entry, job);
                return End::TimedOut;
            }
            Ended::Silent => {}
        }
        if !std::mem::replace(&mut attempt.counted, true) {
            forward::failed(entry, job, attempt.replica, Failure::Silent);
        }
        let Some(other) = other(entry, job) else {
            continue;
        };
        match take_over(entry, caller, job, &mut attempt, other).await {
            Takeover::Back => {}
            Takeover::Ended(end) => {
                attempt.close(entry, job);
                return end;
            }
            Takeover::Over(next) => {
                let silent = std::mem::replace(&mut attempt, *next);
                if let Some(start) = silent.start {
                    entry.record_lost_request(job, start);
                }
                silent.abandon();
            }
        }
    }
}

/// Another replica that may get a request beside the one that is silent. One under which replicas ended goes to no second
/// while the first may be at work on it.
fn other(entry: &Rc<Entry>, job: &mut Job) -> Option<ReplicaKey> {
    if entry.suspects_request(job) {
        return None;
    }
    let other = selection::another(entry, job, entry.node.clock.now())?;
    entry.take_repeat(&job.service).then_some(other)
}

/// An attempt did not begin.
pub(super) fn unbegun(entry: &Entry, job: &mut Job, replica: ReplicaKey, ended: Ended) -> End {
    match ended {
        Ended::Answered(status) => End::Answered(status),
        Ended::Failed(failure, answer) => {
            forward::failed(entry, job, replica, failure);
            End::Failed(answer)
        }
        Ended::Gone(ending) => End::Gone(ending),
        Ended::Silent | Ended::TimedOut => End::TimedOut,
    }
}

/// Ends a failed attempt, and notes the failure.
fn fail(entry: &Rc<Entry>, job: &mut Job, attempt: Attempt, failure: Failure) {
    if attempt.counted {
        forward::note(entry, job, attempt.replica, failure);
    } else {
        forward::failed(entry, job, attempt.replica, failure);
    }
    if let Some(start) = attempt.start.filter(|_| failure.may_be_crash()) {
        entry.record_lost_request(job, start);
    }
    attempt.close(entry, job);
}

/// Asks another replica, and listens to the silent one until the other begins to answer.
async fn take_over(
    entry: &Rc<Entry>,
    caller: &mut Wire,
    job: &mut Job,
    silent: &mut Attempt,
    other: ReplicaKey,
) -> Takeover {
    job.tried.push(other);
    let mut next = match Attempt::begin(entry, caller, job, other).await {
        Ok(next) => next,
        Err(ended) => {
            return match unbegun(entry, job, other, ended) {
                End::Failed(_) => Takeover::Back,
                end => Takeover::Ended(end),
            };
        }
    };
    let asked = {
        let asking = next.ask(entry, caller, job);
        tokio::pin!(asking);
        tokio::select! {
            biased;
            asked = &mut asking => Some(asked),
            speaks = silent.speaks() => match speaks {
                true => None,
                false => Some(asking.await),
            },
        }
    };
    match asked {
        Some(Ok(())) => Takeover::Over(Box::new(next)),
        Some(Err(Ended::Failed(failure, _))) => {
            fail(entry, job, next, failure);
            Takeover::Back
        }
        Some(Err(Ended::Gone(ending))) => {
            next.close(entry, job);
            Takeover::Ended(End::Gone(ending))
        }
        Some(Err(Ended::TimedOut)) => {
            next.close(entry, job);
            Takeover::Ended(End::TimedOut)
        }
        Some(Err(Ended::Answered(_) | Ended::Silent)) => {
            forward::failed(entry, job, other, Failure::Silent);
            next.abandon();
            Takeover::Back
        }
        // The silent one speaks again.
        None => {
            forward::failed(entry, job, other, Failure::Withdrawn);
            next.abandon();
            Takeover::Back
        }
    }
}
