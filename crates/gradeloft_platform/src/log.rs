//! The platform's append-only log.

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
    /// Time of the append in Unix milliseconds, by the log's clock.
    pub time_ms: u64,
    /// Content.
    pub data: Vec<u8>,
}

/// A range of consecutive records of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset of the oldest retained record.
    pub oldest: u64,
    /// Offset of the next append.
    pub next: u64,
}

/// Interface of the log.
pub trait Log {
    /// Appends records atomically and returns the offset of the first.
    fn append<'a>(&'a self, stream: &'a str, records: &'a [Vec<u8>]) -> CallFuture<'a, u64>;
    /// Reads records from offset `from`, or from the oldest retained one if that is later; waits up
    /// to `wait_ms` for new records.
    fn read<'a>(&'a self, stream: &'a str, from: u64, wait_ms: u64) -> CallFuture<'a, Page>;
}

/// A client of the log over HTTP.
#[derive(Clone)]
pub struct Http(BaseClient);

impl Http {
    /// Creates a client of the log at a base URL; `timeout` limits the time to the response head.
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
                .map(decode_record)
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

fn decode_record(record: platform::Record) -> Result<Record, Fault> {
    let data = STANDARD.decode(record.data).map_err(|_| Fault::Malformed)?;
    Ok(Record {
        offset: record.offset,
        time_ms: record.time_ms,
        data,
    })
}
