//! The platform's store: keyed topics with one partition. It loses nothing and answers at once.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request, Wire};

/// A record: its key, and its value if it has one.
type Record = (String, Vec<u8>);

/// The records of all topics.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    written: Condvar,
}

impl Store {
    /// Starts a store.
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let serving = Arc::clone(&store);
        let handler = move |request: Request, wire: &mut Wire| serving.handle(&request, wire);
        http::serve(listener, Arc::new(handler));
        store
    }

    /// Writes a record as the operator or a replica does. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.written.notify_all();
        Instant::now()
    }

    fn handle(&self, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let topic = request.param("topic").unwrap_or_default().to_owned();
        match request.path.as_str() {
            "/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                wire.json(403, "{}")
            }
            "/log-append" => self.append(topic, &request.body, wire),
            "/log-read" => self.read(&topic, request, wire),
            "/log-newest" => self.newest(&topic, wire),
            _ => wire.json(404, "{}"),
        }
    }

    fn append(&self, topic: String, mut body: &[u8], wire: &mut Wire) -> io::Result<()> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let offset = records.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
            let (content, after) = rest.split_at(length);
            let key = content.first().map_or(0, |it| usize::from(*it));
            let content = content.get(1..).unwrap_or_default();
            let (key, value) = content.split_at(key.min(content.len()));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = after;
        }
        let end = records.len();
        drop(topics);
        self.written.notify_all();
        wire.json(200, &format!("{{\"offset\":{offset},\"end-offset\":{end}}}"))
    }

    fn read(&self, topic: &str, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        while topics.get(topic).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.written.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut out = (records.len() as u64).to_be_bytes().to_vec();
        out.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            out.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            out.push(key.len() as u8);
            out.extend_from_slice(key.as_bytes());
            out.extend_from_slice(value);
        }
        drop(topics);
        wire.answer(200, &[("Content-Type", "application/octet-stream")], &out)
    }

    fn newest(&self, topic: &str, wire: &mut Wire) -> io::Result<()> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let rows = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let rows = rows.map(|(key, (offset, value))| {
            let data = base64(value);
            format!("{{\"key\":\"{key}\",\"data\":\"{data}\",\"offset\":{offset}}}")
        });
        let rows: Vec<String> = rows.collect();
        let body = format!(
            "{{\"entries\":[{}],\"has-more\":false,\"end-offset\":{}}}",
            rows.join(","),
            records.len()
        );
        drop(topics);
        wire.json(200, &body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let at = |idx: usize| u32::from(group.get(idx).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            out.push(match place <= group.len() {
                true => char::from(digit),
                false => '=',
            });
        }
    }
    out
}
