//! The append-only log.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use futures_util::FutureExt;
use gradeloft_wire::border::platform;

use crate::{
    CallFuture, Fault,
    http::{BaseClient, ConnectionReuse},
};

/// A record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// When the log took it, in milliseconds since 1970 by the log's clock.
    pub time_ms: u64,
    /// Content.
    pub data: Vec<u8>,
}

/// Part of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Oldest offset still kept.
    pub oldest: u64,
    /// Offset that the next append gets.
    pub next: u64,
}

/// The log, as gradeloft uses it.
pub trait Log {
    /// Appends records in one step and gives the offset of the first.
    fn append<'a>(&'a self, stream: &'a str, records: &'a [Vec<u8>]) -> CallFuture<'a, u64>;
    /// Reads from `from`, or from the oldest kept; waits up to `wait_ms` for something new.
    fn read<'a>(&'a self, stream: &'a str, from: u64, wait_ms: u64) -> CallFuture<'a, Page>;
}

/// The log over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// A log at a base URL.
    pub fn new(url: &str, timeout: Duration) -> Http {
        Http(BaseClient::new(url, timeout, ConnectionReuse::KeepAlive))
    }
}

impl Log for Http {
    fn append<'a>(&'a self, stream: &'a str, records: &'a [Vec<u8>]) -> CallFuture<'a, u64> {
        async move {
            let records = records.iter().map(|it| STANDARD.encode(it)).collect();
            let body = platform::Append { records };
            let res: platform::Appended = self
                .0
                .post(&format!("/v1/streams/{stream}/records"), &body)
                .await?;
            Ok(res.first_offset)
        }
        .boxed_local()
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64, wait_ms: u64) -> CallFuture<'a, Page> {
        async move {
            let path = format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
            let page: platform::Page = self.0.get(&path).await?;
            let records = page
                .records
                .into_iter()
                .map(record)
                .collect::<Result<_, _>>()?;
            Ok(Page {
                records,
                oldest: page.oldest,
                next: page.next,
            })
        }
        .boxed_local()
    }
}

fn record(record: platform::Record) -> Result<Record, Fault> {
    let data = STANDARD.decode(record.data).map_err(|_| Fault::Malformed)?;
    Ok(Record {
        offset: record.offset,
        time_ms: record.time_ms,
        data,
    })
}
