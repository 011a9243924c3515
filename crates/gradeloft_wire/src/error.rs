//! The closed list of error kinds, and the table from kind to answer.

use bincode::{Decode, Encode};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Ran {
    /// It provably did not run, and never will.
    No,
    /// It may have run.
    Unknown,
    /// It ran, wholly or in part.
    Yes,
}

impl Ran {
    /// Name in answers and logs.
    pub fn name(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}

/// Whether the system itself sends a request again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// To another replica, within the budget and the deadline.
    Elsewhere,
    /// As [`Retry::Elsewhere`], but only a request that may run more than once.
    IfRepeatable,
    /// Not at all.
    Never,
}

impl Retry {
    /// Name in documents.
    pub fn name(self) -> &'static str {
        match self {
            Retry::Elsewhere => "elsewhere",
            Retry::IfRepeatable => "if repeatable",
            Retry::Never => "never",
        }
    }
}

/// One row of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Name in answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the system retries.
    pub retry: Retry,
    /// Whether the caller may send it again as it is.
    pub caller_may_retry: bool,
    /// Seconds for `Retry-After`.
    pub retry_after_s: Option<u32>,
    /// What happened and what to do.
    pub message: &'static str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal $status:literal $ran:ident $retry:ident $caller:literal $after:expr, $message:literal;)*) => {
        /// Every way in which a request can fail.
        ///
        /// ```
        /// use gradeloft_wire::error::{Kind, Ran};
        /// assert_eq!(Kind::Busy.row().ran, Ran::No);
        /// ```
        #[derive(Clone, Copy, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind { $($(#[$doc])* $kind,)* }

        impl Kind {
            /// All kinds, in the table's order.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind,)*];

            /// The kind's answer.
            pub fn row(self) -> Row {
                match self {
                    $(Kind::$kind => Row {
                        name: $name,
                        status: $status,
                        ran: Ran::$ran,
                        retry: Retry::$retry,
                        caller_may_retry: $caller,
                        retry_after_s: $after,
                        message: $message,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request can't be understood.
    BadRequest "bad_request" 400 No Never false None, "The request can't be understood; mend the field named in the message.";
    /// No token, or a wrong one.
    Unauthorized "unauthorized" 401 No Never false None, "The token is missing or is not this team's; send `authorization: Bearer TOKEN`.";
    /// The team may not call this.
    Forbidden "forbidden" 403 No Never false None, "The bundle does not let this team call that, or use that class.";
    /// Unknown route, team, model, adapter or service.
    NotFound "not_found" 404 No Never false None, "The bundle in force names no such team, model, adapter or service, or the path is wrong.";
    /// The body is over the limit.
    TooLarge "too_large" 413 No Never false None, "The body is over the entry's limit; send less.";
    /// The team's rate is used up.
    RateLimited "rate_limited" 429 No Never true Some(1), "The team's rate is used up; come back after `Retry-After`.";
    /// Overload: this class is shed first.
    Shed "shed" 503 No Never true Some(2), "Too much is waiting, and more important classes go first; come back after `Retry-After`.";
    /// No bundle is in force yet.
    Starting "starting" 503 No Never true Some(1), "This entry has no bundle yet; use another address.";
    /// No replica serves the version.
    NoReplica "no_replica" 503 No Never true Some(2), "No replica that this team may use serves it at present; come back after `Retry-After`.";
    /// The process takes no new work.
    Leaving "leaving" 503 No Elsewhere true Some(1), "The process is shutting down; use another address.";
    /// The replica is full.
    Busy "busy" 503 No Elsewhere true Some(1), "Every replica tried was full; come back after `Retry-After`.";
    /// The replica does not serve the pinned version.
    NotServing "not_serving" 503 No Elsewhere true Some(1), "The replicas tried do not serve the pinned version any more; send it again.";
    /// The endpoint refused before it ran anything.
    EndpointRefused "endpoint_refused" 503 No Elsewhere true Some(1), "The endpoint refused the request before running it; send it again.";
    /// No byte of it reached an endpoint.
    Unreachable "unreachable" 503 No Elsewhere true Some(1), "No endpoint could be reached; send it again.";
    /// The claim could not be kept on the log.
    LogUnavailable "log_unavailable" 503 No Never true Some(5), "A call that may not be repeated can't be recorded while the log is down; come back after `Retry-After`.";
    /// The deadline passed before it was sent to an endpoint.
    Expired "expired" 504 No Never true None, "The deadline passed before the request was started.";
    /// The deadline passed after it was sent.
    Deadline "deadline" 504 Unknown Never false None, "The deadline passed while the request ran; whether it finished is unknown.";
    /// The connection broke after the request was sent.
    ReplyLost "reply_lost" 502 Unknown IfRepeatable false None, "The connection broke after the request was sent; whether it ran is unknown.";
    /// The same key came before, and its outcome is not known here.
    Duplicate "duplicate" 409 Unknown Never false None, "A request with this idempotency key is running, or its outcome is unknown; it is not run again.";
    /// The answer broke off.
    Cut "cut" 502 Yes IfRepeatable false None, "The answer broke off before its end; what came is not whole.";
    /// Frames of another request or version, or out of order.
    Mismatch "mismatch" 502 Unknown IfRepeatable false None, "The endpoint's answer belonged to another request or version, and was dropped.";
    /// The endpoint failed.
    EndpointFailed "endpoint_failed" 502 Unknown IfRepeatable false None, "The endpoint answered with an error of its own.";
}

impl Kind {
    /// Name in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// Whether the request ran.
    pub fn ran(self) -> Ran {
        self.row().ran
    }

    /// The table as the page `docs/ERRORS.md` shows it.
    pub fn table() -> String {
        let mut text = String::from(
            "| kind | status | ran | system retries | caller may retry | Retry-After (s) | meaning |\n|---|---|---|---|---|---|---|\n",
        );
        for row in Kind::ALL.iter().map(|it| it.row()) {
            let after = row
                .retry_after_s
                .map_or("-".to_owned(), |it| it.to_string());
            let caller = if row.caller_may_retry { "yes" } else { "no" };
            text += &format!(
                "| `{}` | {} | {} | {} | {caller} | {after} | {} |\n",
                row.name,
                row.status,
                row.ran.name(),
                row.retry.name(),
                row.message
            );
        }
        text
    }
}
