//! The closed list of error kinds, and the table of the response to each.

use bincode::{Decode, Encode};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Ran {
    /// The request provably did not run, and never will.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran, completely or in part.
    Yes,
}

impl Ran {
    /// Returns the name in responses and logs.
    pub fn name(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}

/// Whether the system itself retries a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// At another replica, within the retry budget and the deadline.
    Elsewhere,
    /// Like [`Retry::Elsewhere`], but only for requests that may run more than once.
    IfRepeatable,
    /// Not at all.
    Never,
}

impl Retry {
    /// Returns the name in the documentation.
    pub fn name(self) -> &'static str {
        match self {
            Retry::Elsewhere => "elsewhere",
            Retry::IfRepeatable => "if repeatable",
            Retry::Never => "never",
        }
    }
}

/// One row of the error table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Name in responses, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the system retries the request.
    pub retry: Retry,
    /// Whether the caller may retry the unchanged request.
    pub caller_may_retry: bool,
    /// Seconds for `Retry-After`.
    pub retry_after_s: Option<u32>,
    /// Message for the caller: what happened and what to do.
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

            /// Returns the table row of the kind.
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
    /// The request is malformed.
    BadRequest "bad_request" 400 No Never false None, "The request can't be understood; mend the field named in the message.";
    /// The token is missing or invalid.
    Unauthorized "unauthorized" 401 No Never false None, "The token is missing or is not this team's; send `authorization: Bearer TOKEN`.";
    /// The team lacks permission for the call.
    Forbidden "forbidden" 403 No Never false None, "The bundle does not let this team call that, or use that class.";
    /// Unknown route, team, model, adapter or service.
    NotFound "not_found" 404 No Never false None, "The bundle in force names no such team, model, adapter or service, or the path is wrong.";
    /// The body exceeds the limit.
    TooLarge "too_large" 413 No Never false None, "The body is over the entry's limit; send less.";
    /// The team has exhausted its rate.
    RateLimited "rate_limited" 429 No Never true Some(1), "The team's rate is used up; come back after `Retry-After`.";
    /// Overload; the request's class is shed before more important ones.
    Shed "shed" 503 No Never true Some(2), "Too much is waiting, and more important classes go first; come back after `Retry-After`.";
    /// No bundle is in force yet.
    Starting "starting" 503 No Never true Some(1), "This entry has no bundle yet; use another address.";
    /// No replica serves the version.
    NoReplica "no_replica" 503 No Never true Some(2), "No replica that this team may use serves it at present; come back after `Retry-After`.";
    /// The process is shutting down and accepts no new work.
    Leaving "leaving" 503 No Elsewhere true Some(1), "The process is shutting down; use another address.";
    /// The replica has no free capacity.
    Busy "busy" 503 No Elsewhere true Some(1), "Every replica tried was full; come back after `Retry-After`.";
    /// The replica does not serve the pinned version.
    NotServing "not_serving" 503 No Elsewhere true Some(1), "The replicas tried do not serve the pinned version any more; send it again.";
    /// The endpoint refused the request before running it.
    EndpointRefused "endpoint_refused" 503 No Elsewhere true Some(1), "The endpoint refused the request before running it; send it again.";
    /// No byte of the request reached an endpoint.
    Unreachable "unreachable" 503 No Elsewhere true Some(1), "No endpoint could be reached; send it again.";
    /// The claim on the call could not be appended to the log.
    LogUnavailable "log_unavailable" 503 No Never true Some(5), "A call that may not be repeated can't be recorded while the log is down; come back after `Retry-After`.";
    /// The deadline passed before the request was sent to an endpoint.
    Expired "expired" 504 No Never true None, "The deadline passed before the request was started.";
    /// The deadline passed after the request was sent.
    Deadline "deadline" 504 Unknown Never false None, "The deadline passed while the request ran; whether it finished is unknown.";
    /// The connection broke after the request was sent.
    ReplyLost "reply_lost" 502 Unknown IfRepeatable false None, "The connection broke after the request was sent; whether it ran is unknown.";
    /// An earlier request has the same idempotency key, and its outcome is unknown.
    Duplicate "duplicate" 409 Unknown Never false None, "A request with this idempotency key is running, or its outcome is unknown; it is not run again.";
    /// The response was truncated.
    Cut "cut" 502 Yes IfRepeatable false None, "The answer broke off before its end; what came is not whole.";
    /// The response has frames of another request or version, or out of order.
    Mismatch "mismatch" 502 Unknown IfRepeatable false None, "The endpoint's answer belonged to another request or version, and was dropped.";
    /// The endpoint responded with an error.
    EndpointFailed "endpoint_failed" 502 Unknown IfRepeatable false None, "The endpoint answered with an error of its own.";
    /// The process has no memory for the body.
    Overloaded "overloaded" 503 No Never true Some(1), "The entry has no memory for the body at present; come back after `Retry-After`.";
}

impl Kind {
    /// Returns the name in responses, logs and metrics.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// Returns whether the request ran.
    pub fn ran(self) -> Ran {
        self.row().ran
    }

    /// Returns the table as Markdown, as in `docs/ERRORS.md`.
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
