//! Memory and descriptors of a process of a test, as the machine that it runs on would count them.

use std::{
    fs, io,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Column of the local address in the kernel's table of TCP sockets.
const LOCAL_COLUMN: usize = 1;
/// Column of the state of a socket.
const STATE_COLUMN: usize = 3;
/// Column of the bytes that wait to be sent and to be read.
const QUEUES_COLUMN: usize = 4;
/// State of a socket that listens; its queues count connections.
const LISTENS: &str = "0A";

/// Highest values of all samples.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Footprint {
    /// Resident memory and the bytes in the kernel's buffers of the process's connections.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples a process until it is finished or dropped.
pub struct Sampler {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<Footprint>>,
}

impl Sampler {
    /// Starts to sample a process whose connections all have the local address `address`, which no other
    /// process has.
    pub fn start(pid: u32, address: Ipv4Addr) -> Sampler {
        let ended = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&ended);
        let thread = thread::spawn(move || {
            let mut peak = Footprint::default();
            while !shared.load(Ordering::Relaxed) {
                // The process may have ended, which its owner checks.
                if let Ok(sample) = sample(pid, address) {
                    peak.memory_bytes = peak.memory_bytes.max(sample.memory_bytes);
                    peak.descriptors = peak.descriptors.max(sample.descriptors);
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Sampler {
            ended,
            thread: Some(thread),
        }
    }

    /// Ends the sampling, and returns the highest values.
    pub fn finish(mut self) -> Footprint {
        self.ended.store(true, Ordering::Relaxed);
        let thread = self.thread.take();
        thread.and_then(|it| it.join().ok()).unwrap_or_default()
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Returns the memory and the descriptors that a process takes now; `address` as in [`Sampler::start`].
pub fn sample(pid: u32, address: Ipv4Addr) -> io::Result<Footprint> {
    Ok(Footprint {
        memory_bytes: resident_bytes(pid)?
            + queued_bytes(&fs::read_to_string("/proc/net/tcp")?, address),
        descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
    })
}

fn resident_bytes(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|it| it << 10)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Returns the bytes in the buffers of all connections with a local address, by the kernel's table.
fn queued_bytes(table: &str, address: Ipv4Addr) -> u64 {
    // The table has the address as a number in the byte order of the machine.
    let local = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
    let queues = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_counted = columns.get(LOCAL_COLUMN)?.starts_with(&local)
            && *columns.get(STATE_COLUMN)? != LISTENS;
        let (to_send, to_read) = columns.get(QUEUES_COLUMN)?.split_once(':')?;
        let bytes = |it| u64::from_str_radix(it, 16).ok();
        is_counted.then_some(bytes(to_send)? + bytes(to_read)?)
    });
    queues.sum()
}
