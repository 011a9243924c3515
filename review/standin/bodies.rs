//! Clients send bodies as large as the operator's limit, and the platform ends a process that takes
//! more memory than its machine's class has.

use std::{
    collections::HashSet,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{self, Fleet, HOST, ONCE_ROUTE, Scale},
    http::{self, Wire},
    record::Record,
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// `limits.memory-mb` of the class edge.
const MEMORY_MB: u64 = 260;
/// `max-body-bytes` of the configuration.
const LARGE: usize = 4_194_304;
/// Largest body of the sheet's requests.
const USUAL: usize = 3_600;
/// Clients of the three zones.
const CLIENTS: usize = 91;
/// Requests of each client after the first.
const REQUESTS: usize = 8;

/// What clients saw.
#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    /// Requests on kept connections that were closed without an answer.
    closed: Mutex<HashSet<String>>,
}

pub fn run(case: &Path, trouble: bool) -> io::Result<Verdict> {
    let scale = Scale {
        entries: 2,
        replicas: 3,
        net: 43,
    };
    let tenants = format!("{{\"name\":\"bozi300\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}");
    let mut fleet = Fleet::start(scale, case, |it| fleet::config(1, it, ONCE_ROUTE, &tenants))?;
    std::thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Counts::default());
    let done = Arc::new(AtomicBool::new(false));
    let size = if trouble { LARGE } else { USUAL };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (counts, record) = (Arc::clone(&counts), Arc::clone(&fleet.record));
            let to = fleet.frontend(client);
            std::thread::spawn(move || {
                if let Err(error) = run_client(client, to, size, &counts, &record) {
                    record.line(format_args!("client {client}: {error}"));
                }
            })
        })
        .collect();
    let waiting = {
        let done = Arc::clone(&done);
        std::thread::spawn(move || {
            for it in clients {
                let _ = it.join();
            }
            done.store(true, Ordering::Relaxed);
        })
    };
    let mut ended = Vec::new();
    let mut peak = [0; 2];
    while !done.load(Ordering::Relaxed) {
        for entry in 0..2 {
            let Some(mb) = fleet.entry_memory_mb(entry) else {
                continue;
            };
            peak[entry] = peak[entry].max(mb);
            if MEMORY_MB < mb && !ended.contains(&entry) {
                fleet.record.line(format_args!("platform: entry {entry} takes {mb} MB, and is killed"));
                fleet.kill_entry(entry);
                ended.push(entry);
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let _ = waiting.join();
    let closed = counts.closed.lock().unwrap();
    let ran = fleet.replicas.iter().flat_map(|it| it.ran());
    let ran: HashSet<String> = ran.map(|it| it.0).collect();
    let lost = closed.intersection(&ran).count();
    fleet.record.line(format_args!(
        "judge: most memory {peak:?} MB; {} answered, {} ran; on kept connections {} closed without an answer, of which {lost} had run",
        counts.answered.load(Ordering::Relaxed),
        ran.len(),
        closed.len()
    ));
    Ok(match 3 < lost {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn run_client(
    client: usize,
    to: SocketAddr,
    size: usize,
    counts: &Counts,
    record: &Record,
) -> io::Result<()> {
    let stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut wire = Wire::new(stream);
    let body = vec![b'x'; size];
    for number in 0..=REQUESTS {
        // The first request opens the connection.
        let body = if number == 0 { &body[..600] } else { &body[..] };
        let id = format!("{client:04x}{number:04x}");
        let head = format!(
            "POST /book/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nX-Key: {KEY}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        wire.stream.write_all(head.as_bytes())?;
        let answer = wire.stream.write_all(body).and_then(|()| wire.head());
        match answer {
            Ok((first, fields)) => {
                counts.answered.fetch_add(1, Ordering::Relaxed);
                record.line(format_args!("client: {id} gets {first}"));
                let length = http::field(&fields, "content-length").and_then(|it| it.parse().ok());
                wire.take(length.unwrap_or(0))?;
                if http::field(&fields, "connection").is_some_and(|it| it == "close") {
                    return Ok(());
                }
            }
            Err(error) => {
                record.line(format_args!("client: {id} gets no answer: {error}"));
                if 0 < number {
                    counts.closed.lock().unwrap().insert(id);
                }
                return Ok(());
            }
        }
    }
    Ok(())
}
